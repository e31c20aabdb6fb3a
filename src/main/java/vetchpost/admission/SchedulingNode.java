package vetchpost.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * A flow whose capacity is divided among child flows by start-time fair queueing; an inner node of the scheduling tree
 * of {@link FairAdmission}. Event loop only.
 */
final class SchedulingNode extends Flow {
    final Map<Integer, Flow> children = new HashMap<>();
    double readyWeight;
    /**
     * How far before the virtual time a child that was idle may start, so that a short burst is not treated as a
     * backlog.
     */
    double credit;

    private final PriorityQueue<Flow> readyQueue = new PriorityQueue<>(BY_START);
    /** Idle children whose finish tag lies ahead: to forget them would let them go first. */
    private final PriorityQueue<Flow> idleQueue = new PriorityQueue<>(BY_FINISH);

    private double virtualTime;
    private double maxFinishTag;

    SchedulingNode(SchedulingNode parent, int key, double weight) {
        super(parent, key, weight);
    }

    /** All children with waiting requests. */
    List<Flow> readyChildren() {
        return List.copyOf(readyQueue);
    }

    /** The next child whose key passes, or null; children before it are moved to {@code skipped}. */
    Flow next(IntPredicate passes, List<Flow> skipped) {
        Flow found = null;
        while (found == null && !readyQueue.isEmpty()) {
            Flow candidate = readyQueue.peek();
            if (passes.test(candidate.key)) {
                found = candidate;
            } else {
                skipped.add(readyQueue.poll());
            }
        }
        return found;
    }

    /** Puts skipped children back. */
    void restore(List<Flow> skipped) {
        readyQueue.addAll(skipped);
        skipped.clear();
    }

    /** A child has a waiting request now. */
    void activate(Flow child, long sequence) {
        if (child.isReady) {
            return;
        }
        idleQueue.remove(child);
        child.startTag = Math.max(virtualTime - credit, child.finishTag);
        child.sequence = sequence;
        child.isReady = true;
        readyWeight += child.weight;
        readyQueue.add(child);
    }

    /** A request of this cost was taken from a child. */
    void serve(Flow child, double cost, long sequence) {
        readyQueue.remove(child);
        virtualTime = Math.max(virtualTime, child.startTag);
        child.finishTag = child.startTag + cost / child.weight;
        maxFinishTag = Math.max(maxFinishTag, child.finishTag);
        if (child.waitingCount > 0) {
            child.startTag = child.finishTag;
            child.sequence = sequence;
            readyQueue.add(child);
        } else {
            deactivate(child);
        }
        pruneIdle();
    }

    /** Charges a child a cost outside its turn: its next turns come later by that. */
    void charge(Flow child, double cost) {
        if (child.isReady) {
            readyQueue.remove(child);
            child.startTag += cost / child.weight;
            readyQueue.add(child);
        } else {
            idleQueue.remove(child);
            child.finishTag = Math.max(virtualTime - credit, child.finishTag) + cost / child.weight;
            maxFinishTag = Math.max(maxFinishTag, child.finishTag);
            idleQueue.add(child);
        }
    }

    /** Advances the virtual time for a request that was served, whether or not it was in turn. */
    void advanceVirtualTime(double time) {
        virtualTime += time;
    }

    /** Whether a child with waiting requests has had clearly less than its share so far. */
    boolean isBelowFairShare(Flow child) {
        return child.startTag < virtualTime - credit / 2;
    }

    /**
     * How far ahead of the virtual time a child's next turn lies, in cost of the child's own; negative while it has
     * credit.
     */
    double lag(Flow child) {
        return ((child.isReady ? child.startTag : Math.max(virtualTime - credit, child.finishTag)) - virtualTime)
                * child.weight;
    }

    /** Deactivates a child whose last waiting request was removed without having been served. */
    void deactivateIfEmpty(Flow child) {
        if (child.isReady && child.waitingCount == 0) {
            readyQueue.remove(child);
            deactivate(child);
            pruneIdle();
        }
    }

    private void deactivate(Flow child) {
        child.isReady = false;
        readyWeight -= child.weight;
        idleQueue.add(child);
    }

    /**
     * Removes idle children whose finish tag has passed: a new flow would start alike. With no request waiting at all,
     * these are all of them.
     */
    private void pruneIdle() {
        if (readyQueue.isEmpty()) {
            virtualTime = Math.max(virtualTime, maxFinishTag);
            readyWeight = 0; // Else rounding errors would accumulate.
        }
        while (!idleQueue.isEmpty() && idleQueue.peek().finishTag <= virtualTime - credit) {
            Flow expired = idleQueue.poll();
            children.remove(expired.key, expired);
        }
    }

    /** Removes the child of this key if it is idle. */
    void forgetIfIdle(int key) {
        Flow child = children.get(key);
        if (child != null && !child.isReady && child.waitingCount == 0) {
            idleQueue.remove(child);
            children.remove(key);
        }
    }

    /** The child with the largest backlog for its weight, or null. */
    Flow longestBacklog() {
        Flow longest = null;
        for (Flow child : readyQueue) {
            if (longest == null || child.backlogCost / child.weight > longest.backlogCost / longest.weight) {
                longest = child;
            }
        }
        return longest;
    }

    /** Changes a child's weight. */
    void setWeight(Flow child, double weight) {
        readyWeight += child.isReady ? weight - child.weight : 0;
        child.weight = weight;
    }

    /** Number of flows in this subtree, itself included. */
    int flowCount() {
        int size = 1;
        for (Flow child : new ArrayList<>(children.values())) {
            size += child instanceof SchedulingNode node ? node.flowCount() : 1;
        }
        return size;
    }
}
