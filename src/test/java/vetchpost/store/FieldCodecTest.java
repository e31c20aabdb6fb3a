package vetchpost.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Values as bytes, whatever they are, and bytes that are none. */
class FieldCodecTest {
    private static Map<Integer, Object> read(byte[] bytes) {
        Map<Integer, Object> all = new LinkedHashMap<>();
        FieldCodec.read(bytes, all::put);
        return all;
    }

    @Test
    void encodedFieldsDecodeToTheSameValues() {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 2_000; i++) {
            Map<Integer, Object> all = new LinkedHashMap<>();
            FieldCodec.Encoder packer = new FieldCodec.Encoder();
            for (int number = random.nextInt(3); number <= 84; number += random.nextInt(1, 30)) {
                Object value = switch (random.nextInt(3)) {
                    case 0 -> "é\u0001x".repeat(random.nextInt(40));
                    case 1 -> random.nextLong();
                    default -> random.nextDouble();
                };
                all.put(number, value);
                packer.add(number, value);
            }
            assertEquals(all, read(packer.bytes()));
        }
    }

    @Test
    void invalidFieldsAreRejected() {
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        assertThrows(IllegalArgumentException.class, () -> packer.add(85, 1L));
        assertThrows(IllegalArgumentException.class, () -> packer.add(1, true));
        assertThrows(IllegalArgumentException.class, () -> packer.add(1, "x".repeat(2_049)));
        for (int i = 0; i < 3; i++) {
            packer.add(i, "x".repeat(2_048));
        }
        assertThrows(IllegalArgumentException.class, () -> packer.add(4, "x".repeat(2_048)));
    }

    @Test
    void invalidBytesAreRejected() {
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        packer.add(3, "text");
        packer.add(4, 5L);
        byte[] good = packer.bytes();
        for (int length = 1; length < good.length; length++) {
            if (length != 7) {
                byte[] cut = Arrays.copyOf(good, length);
                assertThrows(IllegalArgumentException.class, () -> read(cut), length + " bytes");
            }
        }
        byte[] twice = Arrays.copyOf(good, 2 * good.length);
        System.arraycopy(good, 0, twice, good.length, good.length);
        assertThrows(IllegalArgumentException.class, () -> read(twice));
        assertThrows(IllegalArgumentException.class, () -> read(new byte[] {0, (byte) 0x80, 0}));
    }
}
