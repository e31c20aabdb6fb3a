package vetchpost.simadapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Translation of single events and actions of the simulator's line format. */
class AdapterSessionTest {
    private static final String BOOT = "boot node=node-3 initSeed=5 balancers=1 classes.count=1"
            + " classes.0.name=view"
            + " classes.0.giveUpUs=500000 classes.0.onTimeUs=100000 classes.0.repeat=safe unknown.key=1"
            + " quantumUs=2000\n";
    private static final String LIST = "roster setId=0 nodesList=1\n"
            + "server server=10.0.0.7:8003 site=z generationHw=k block=0 lifecycle=Running scale=1 extra=2\n"
            + "topology node=node-3 setId=0 generation=1 kind=stale_copy\n";
    private static final String ITEM =
            "work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view" + " patienceLeftUs=240000" + " novel=x\n";
    private static final String OPEN = "begin_batch timeUs=1000000\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private String run(String input) throws Exception {
        new AdapterSession(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void answersAnEmptyBatchAndStopsAtTheEndOfInput() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob\n"));
    }

    @Test
    void routesARequestUnderItsUnchangedId() throws Exception {
        String reply = run(OPEN + BOOT + LIST + ITEM + "eob\n");
        assertTrue(
                reply.contains("route node=node-3 handle=b7c6f2075d3a91c4" + " server=10.0.0.7:8003 untilUs=1240000\n"),
                reply);
        assertTrue(reply.endsWith("next\n"));
    }

    @Test
    void reportsAnOutcomeAndWritesTheBalancersFinalAnswer() throws Exception {
        String reply = run(OPEN + BOOT + LIST + ITEM + "eob\nbegin_batch timeUs=1240000\nresolved node=node-3"
                + " handle=b7c6f2075d3a91c4 latencyUs=240000 rc=40 seqNo=0 server=10.0.0.7:8003\neob\n");
        assertTrue(reply.contains("decline node=node-3 handle=b7c6f2075d3a91c4\n"), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "begin_batch timeUs=1 | the input ends inside a batch",
                "begin_batch timeUs=1;mystery node=node-3 x=1;eob | node",
                "begin_batch timeUs=x;eob | timeUs",
                "begin_batch;eob | timeUs",
                "hello;eob | begin_batch",
                "begin_batch timeUs=1;bell node=node-9 label=w;eob | never started",
                "B;mystery node=node-3 x=1;eob | unknown event mystery",
                "B;topology node=node-3 setId=4 generation=1 kind=whole;eob | never given",
                "B;topology node=node-3 setId=99 generation=1 kind=whole;eob | setId",
                "B;topology node=node-3 setId=0 generation=1 kind=odd;eob | kind",
                "B;work_item node=node-3 handle=b7c6 lane=view patienceLeftUs=1;eob | handle",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=other patienceLeftUs=1;eob | lane",
                "B;work_item node=node-3 handle=b7c6f2075d3a91c4 lane=view;eob | patienceLeftUs",
                "B;resolved node=node-3 handle=b7c6f2075d3a91c4 rc=11 seqNo=0;eob | rc",
                "B;roster setId=0 nodesList=2;server server=a lifecycle=Running;eob | roster",
                "B;roster setId=0 nodesList=1;server server=a lifecycle=Odd;eob | lifecycle",
                "begin_batch timeUs=1;boot node=n initSeed=1 classes.count=1;eob | classes.0.",
                "begin_batch timeUs=1;boot node=n initSeed=1;eob | classes is empty"
            })
    void rejectsMalformedInputByLineAndFieldWithoutWriting(String lines, String expectedText) {
        String input = lines.trim().replace("B;", OPEN + BOOT).replace(';', '\n') + "\n";
        WireException exception = assertThrows(WireException.class, () -> run(input));
        assertTrue(exception.getMessage().contains(expectedText.trim()), exception.getMessage());
        assertTrue(exception.getMessage().startsWith("line "), exception.getMessage());
        assertEquals(-1, exception.getMessage().indexOf('\n'));
        assertEquals(0, out.size());
    }

    @Test
    void reportsAnExceptionOfTheBalancerAsAFault() throws Exception {
        String reply = run(OPEN + BOOT + LIST + ITEM + ITEM + "eob\n");
        assertTrue(reply.contains("fault node=node-3 noteText=java.lang.IllegalArgumentException"), reply);
        assertTrue(reply.endsWith("next\n"));
    }

    @Test
    void readsALastLineWithoutLineBreak() throws Exception {
        assertEquals("next\n", run("begin_batch timeUs=8412250\neob"));
    }

    @Test
    void keepsInstancesIndependentOfEachOther() throws Exception {
        String alone = run(OPEN + BOOT + LIST + ITEM + "eob\n");
        out.reset();
        String together = run(OPEN + BOOT.replace("node-3", "node-5") + LIST.replace("node=node-3", "node=node-5")
                + BOOT + LIST + ITEM.replace("node-3", "node-5") + ITEM + "eob\n");
        StringBuilder ownLines = new StringBuilder();
        together.lines()
                .filter(l -> !l.contains("node-5"))
                .forEach(l -> ownLines.append(l).append('\n'));
        assertEquals(alone, ownLines.toString());
    }
}
