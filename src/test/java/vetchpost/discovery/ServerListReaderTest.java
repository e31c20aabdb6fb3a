package vetchpost.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.StringReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A message is read as far as it is told to, and is a list only when it is whole. */
class ServerListReaderTest {
    private static String message(int servers, String end) {
        StringBuilder text = new StringBuilder("{\"rev\":7,\"all\":true,\"targets\":[");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s")
                    .append(i)
                    .append("\",\"endpoint\":\"127.0.0.1:80\",\"state\":\"Ready\"}");
        }
        return text + end;
    }

    @Test
    void readsAtMostRequestedServersPerCall() {
        ServerListReader reader = new ServerListReader(new StringReader(message(5, "]}")));
        assertNull(reader.read(2));
        assertNull(reader.read(2));
        assertEquals(5, reader.read(2).targets().size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"]", "]}{}", ",{}]}", "],\"rev\":null}"})
    void rejectsWholeMessageOnMalformedEnd(String end) {
        ServerListReader reader = new ServerListReader(new StringReader(message(5, end)));
        assertNull(reader.read(3));
        assertThrows(IllegalArgumentException.class, () -> reader.read(10));
    }
}
