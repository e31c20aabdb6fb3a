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

    private final PriorityQueue<Flow> queue = new PriorityQueue<>(BY_START);
    /** What has nothing waiting but a finish that lies ahead: to forget that would be to let it go first. */
    private final PriorityQueue<Flow> idle = new PriorityQueue<>(BY_FINISH);

    private double virtual;
    private double mostFinish;

    SchedulingNode(SchedulingNode parent, int key, double weight) {
        super(parent, key, weight);
    }

    /** All that have something waiting. */
    List<Flow> ready() {
        return List.copyOf(queue);
    }

    /** The next one whose key passes, or null. */
    Flow next(IntPredicate passes, List<Flow> skipped) {
        Flow found = null;
        while (found == null && !queue.isEmpty()) {
            Flow first = queue.peek();
            if (passes.test(first.key)) {
                found = first;
            } else {
                skipped.add(queue.poll());
            }
        }
        return found;
    }

    /** Puts back what was passed over. */
    void restore(List<Flow> skipped) {
        queue.addAll(skipped);
        skipped.clear();
    }

    /** A child has something waiting. */
    void wake(Flow child, long turn) {
        if (child.ready) {
            return;
        }
        idle.remove(child);
        child.start = Math.max(virtual - credit, child.finish);
        child.turn = turn;
        child.ready = true;
        readyWeight += child.weight;
        queue.add(child);
    }

    /** A child's request of this cost goes out. */
    void serve(Flow child, double cost, long turn) {
        queue.remove(child);
        virtual = Math.max(virtual, child.start);
        child.finish = child.start + cost / child.weight;
        mostFinish = Math.max(mostFinish, child.finish);
        if (child.waiting > 0) {
            child.start = child.finish;
            child.turn = turn;
            queue.add(child);
        } else {
            rest(child);
        }
        forgetPast();
    }

    /** A child has had this much outside its turn: its next turns come so much later. */
    void charge(Flow child, double cost) {
        if (child.ready) {
            queue.remove(child);
            child.start += cost / child.weight;
            queue.add(child);
        } else {
            idle.remove(child);
            child.finish = Math.max(virtual - credit, child.finish) + cost / child.weight;
            mostFinish = Math.max(mostFinish, child.finish);
            idle.add(child);
        }
    }

    /** Something has gone out that moves the turns on by so much, whose turn it was or not. */
    void pass(double time) {
        virtual += time;
    }

    /** Whether a child with something waiting has had clearly less than its part so far. */
    boolean isInCredit(Flow child) {
        return child.start < virtual - credit / 2;
    }

    /**
     * How much a child's next turn lies behind what is served now, in cost of its own; less than 0 for
     * credit.
     */
    double lag(Flow child) {
        return ((child.ready ? child.start : Math.max(virtual - credit, child.finish)) - virtual) * child.weight;
    }

    /** A child has nothing waiting any more, and was not served for it. */
    void quiet(Flow child) {
        if (child.ready && child.waiting == 0) {
            queue.remove(child);
            rest(child);
            forgetPast();
        }
    }

    private void rest(Flow child) {
        child.ready = false;
        readyWeight -= child.weight;
        idle.add(child);
    }

    /** What finished before now is as good as new; with nothing waiting at all, that is everything. */
    private void forgetPast() {
        if (queue.isEmpty()) {
            virtual = Math.max(virtual, mostFinish);
            readyWeight = 0; // What rounding has left would else stay for good.
        }
        while (!idle.isEmpty() && idle.peek().finish <= virtual - credit) {
            Flow past = idle.poll();
            children.remove(past.key, past);
        }
    }

    /** A child of this key that has nothing waiting is as good as new. */
    void forget(int key) {
        Flow child = children.get(key);
        if (child != null && !child.ready && child.waiting == 0) {
            idle.remove(child);
            children.remove(key);
        }
    }

    /** Those of its children with the most waiting for their weight, or null. */
    Flow longest() {
        Flow longest = null;
        for (Flow child : queue) {
            if (longest == null || child.backlog / child.weight > longest.backlog / longest.weight) {
                longest = child;
            }
        }
        return longest;
    }

    /** Has a child weigh this from now on. */
    void weigh(Flow child, double weight) {
        readyWeight += child.ready ? weight - child.weight : 0;
        child.weight = weight;
    }

    /** How many flows there are below, itself counted. */
    int size() {
        int size = 1;
        for (Flow child : new ArrayList<>(children.values())) {
            size += child instanceof SchedulingNode branch ? branch.size() : 1;
        }
        return size;
    }
}
