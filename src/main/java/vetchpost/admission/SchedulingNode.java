package vetchpost.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/** A flow that is divided among others. */
final class SchedulingNode extends Flow {
    final Map<Integer, Flow> children = new HashMap<>();
    double readyWeight;
    /**
     * A child that has had nothing waiting may start so much before now, in virtual time: bursts are no
     * crowd.
     */
    double credit;

    private final PriorityQueue<Flow> readyQueue = new PriorityQueue<>(BY_START);
    /** What has nothing waiting but a finish that lies ahead: to forget that would be to let it go first. */
    private final PriorityQueue<Flow> idleQueue = new PriorityQueue<>(BY_FINISH);

    private double virtualTime;
    private double maxFinishTag;

    SchedulingNode(SchedulingNode parent, int key, double weight) {
        super(parent, key, weight);
    }

    /** All that have something waiting. */
    List<Flow> readyChildren() {
        return List.copyOf(readyQueue);
    }

    /** The next one whose key passes, or null. */
    Flow next(IntPredicate passes, List<Flow> skipped) {
        Flow found = null;
        while (found == null && !readyQueue.isEmpty()) {
            Flow first = readyQueue.peek();
            if (passes.test(first.key)) {
                found = first;
            } else {
                skipped.add(readyQueue.poll());
            }
        }
        return found;
    }

    /** Puts back what was passed over. */
    void restore(List<Flow> skipped) {
        readyQueue.addAll(skipped);
        skipped.clear();
    }

    /** A child has something waiting. */
    void activate(Flow child, long turn) {
        if (child.isReady) {
            return;
        }
        idleQueue.remove(child);
        child.startTag = Math.max(virtualTime - credit, child.finishTag);
        child.sequence = turn;
        child.isReady = true;
        readyWeight += child.weight;
        readyQueue.add(child);
    }

    /** A child's request of this cost goes out. */
    void serve(Flow child, double cost, long turn) {
        readyQueue.remove(child);
        virtualTime = Math.max(virtualTime, child.startTag);
        child.finishTag = child.startTag + cost / child.weight;
        maxFinishTag = Math.max(maxFinishTag, child.finishTag);
        if (child.waitingCount > 0) {
            child.startTag = child.finishTag;
            child.sequence = turn;
            readyQueue.add(child);
        } else {
            deactivate(child);
        }
        pruneIdle();
    }

    /** A child has had this much outside its turn: its next turns come so much later. */
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

    /** Something has gone out that moves the turns on by so much, whose turn it was or not. */
    void advanceVirtualTime(double time) {
        virtualTime += time;
    }

    /** Whether a child with something waiting has had clearly less than its part so far. */
    boolean isBelowFairShare(Flow child) {
        return child.startTag < virtualTime - credit / 2;
    }

    /**
     * How much a child's next turn lies behind what is served now, in cost of its own; less than 0 for
     * credit.
     */
    double lag(Flow child) {
        return ((child.isReady ? child.startTag : Math.max(virtualTime - credit, child.finishTag)) - virtualTime)
                * child.weight;
    }

    /** A child has nothing waiting any more, and was not served for it. */
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

    /** What finished before now is as good as new; with nothing waiting at all, that is everything. */
    private void pruneIdle() {
        if (readyQueue.isEmpty()) {
            virtualTime = Math.max(virtualTime, maxFinishTag);
            readyWeight = 0; // What rounding has left would else stay for good.
        }
        while (!idleQueue.isEmpty() && idleQueue.peek().finishTag <= virtualTime - credit) {
            Flow past = idleQueue.poll();
            children.remove(past.key, past);
        }
    }

    /** A child of this key that has nothing waiting is as good as new. */
    void forgetIfIdle(int key) {
        Flow child = children.get(key);
        if (child != null && !child.isReady && child.waitingCount == 0) {
            idleQueue.remove(child);
            children.remove(key);
        }
    }

    /** Those of its children with the most waiting for their weight, or null. */
    Flow longestBacklog() {
        Flow longest = null;
        for (Flow child : readyQueue) {
            if (longest == null || child.backlogCost / child.weight > longest.backlogCost / longest.weight) {
                longest = child;
            }
        }
        return longest;
    }

    /** Has a child weigh this from now on. */
    void setWeight(Flow child, double weight) {
        readyWeight += child.isReady ? weight - child.weight : 0;
        child.weight = weight;
    }

    /** How many flows there are below, itself counted. */
    int flowCount() {
        int size = 1;
        for (Flow child : new ArrayList<>(children.values())) {
            size += child instanceof SchedulingNode branch ? branch.flowCount() : 1;
        }
        return size;
    }
}
