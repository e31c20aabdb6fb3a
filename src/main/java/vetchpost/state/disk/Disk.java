package vetchpost.state.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The few calls to the system that keeping a file takes, each of which can fail or be the last. */
interface Disk {
    /** The machine's. */
    Disk SYSTEM = new Disk() {
        @Override
        public Sink create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            return new Sink() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    while (bytes.hasRemaining()) {
                        channel.write(bytes);
                    }
                }

                @Override
                public void force() throws IOException {
                    channel.force(true);
                }

                @Override
                public void close() throws IOException {
                    channel.close();
                }
            };
        }

        @Override
        public void move(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void forceDirectory(Path folder) throws IOException {
            try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }

        @Override
        public boolean exists(Path file) {
            return Files.exists(file);
        }

        @Override
        public byte[] read(Path file, long most) throws IOException {
            if (!Files.isRegularFile(file)) {
                throw new IOException("is no file");
            }
            long size = Files.size(file);
            if (size > most) {
                throw new IOException("is over " + most + " bytes");
            }
            byte[] bytes = new byte[(int) size];
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
                ByteBuffer buffer = ByteBuffer.wrap(bytes);
                while (buffer.hasRemaining() && channel.read(buffer) >= 0) {
                    continue;
                }
            }
            return bytes;
        }
    };

    /** A file that is being written. */
    interface Sink extends AutoCloseable {
        void write(ByteBuffer bytes) throws IOException;

        /** What was written is on the disk once this returns. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** An empty file to write, in the place of one that is there. */
    Sink create(Path file) throws IOException;

    /** Moves a file at once, in the place of one that is there. */
    void move(Path from, Path to) throws IOException;

    /** Names in it are on the disk once this returns. */
    void forceDirectory(Path folder) throws IOException;

    boolean exists(Path file);

    /** A file's bytes, if they are no more than so many. */
    byte[] read(Path file, long most) throws IOException;
}
