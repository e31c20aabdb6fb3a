package vetchpost.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Fields of any type are decoded as they were encoded, and invalid fields or bytes are rejected. */
class FieldCodecTest {
    private static Map<Integer, Object> read(byte[] bytes) {
        Map<Integer, Object> fields = new LinkedHashMap<>();
        FieldCodec.read(bytes, fields::put);
        return fields;
    }

    @Test
    void encodedFieldsDecodeToTheSameValues() {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 2_000; i++) {
            Map<Integer, Object> fields = new LinkedHashMap<>();
            FieldCodec.Encoder encoder = new FieldCodec.Encoder();
            for (int number = random.nextInt(3); number <= 84; number += random.nextInt(1, 30)) {
                Object value = switch (random.nextInt(3)) {
                    case 0 -> "é\u0001x".repeat(random.nextInt(40));
                    case 1 -> random.nextLong();
                    default -> random.nextDouble();
                };
                fields.put(number, value);
                encoder.add(number, value);
            }
            assertEquals(fields, read(encoder.bytes()));
        }
    }

    @Test
    void invalidFieldsAreRejected() {
        FieldCodec.Encoder encoder = new FieldCodec.Encoder();
        assertThrows(IllegalArgumentException.class, () -> encoder.add(85, 1L));
        assertThrows(IllegalArgumentException.class, () -> encoder.add(1, true));
        assertThrows(IllegalArgumentException.class, () -> encoder.add(1, "x".repeat(2_049)));
        for (int i = 0; i < 3; i++) {
            encoder.add(i, "x".repeat(2_048));
        }
        assertThrows(IllegalArgumentException.class, () -> encoder.add(4, "x".repeat(2_048)));
    }

    @Test
    void invalidBytesAreRejected() {
        FieldCodec.Encoder encoder = new FieldCodec.Encoder();
        encoder.add(3, "text");
        encoder.add(4, 5L);
        byte[] encoded = encoder.bytes();
        for (int length = 1; length < encoded.length; length++) {
            if (length != 7) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(IllegalArgumentException.class, () -> read(truncated), length + " bytes");
            }
        }
        byte[] repeated = Arrays.copyOf(encoded, 2 * encoded.length);
        System.arraycopy(encoded, 0, repeated, encoded.length, encoded.length);
        assertThrows(IllegalArgumentException.class, () -> read(repeated));
        assertThrows(IllegalArgumentException.class, () -> read(new byte[] {0, (byte) 0x80, 0}));
    }
}
