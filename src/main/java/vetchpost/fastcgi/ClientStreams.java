package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.fastcgi.AttemptProgress.ProtocolStatus;
import vetchpost.fastcgi.FcgiRecord.Type;

/**
 * The requests that share one client's connection: which are open, how far each has come, and what the client
 * is owed. It reads records and says what they come to; no I/O. What is not kept to by a peer costs its
 * request a 4xx where that can be told, and its connection only where requests can't be told apart any more.
 */
public final class ClientStreams {
    private static final int CONTROL_CONTENT_BYTES = 8;
    private static final int RESPONDER_ROLE = 1;
    private static final int KEEP_CONNECTION_FLAG = 1;
    private static final int MAX_GET_VALUES_BYTES = 4_096;
    private static final int MAX_PAIRS = 256;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;

    /** What the records come to. */
    public interface Listener {
        /** A request is whole, and owed {@link ClientStreams#end}. */
        void onRequest(int id, FcgiRequest request, byte[] body);

        /** A client no longer wants a request that is owed its answer; it is still owed its end. */
        void onAbort(int id);

        /** To be written; the listener owns it. */
        void write(FcgiRecord record);

        /** Nothing is to come on the connection any more, once all that was written has gone out. */
        void close();
    }

    /** A request that is open. */
    private static final class Stream {
        private final boolean keepsConnection;
        private final NameValues params;
        private FcgiRequest request;
        private byte[] body = new byte[0];
        private int bodyBytes;
        /** It has been handed over, and is owed an answer. */
        private boolean awaitsAnswer;

        Stream(boolean keep, int mostParams) {
            this.keepsConnection = keep;
            params = new NameValues(mostParams, MAX_PAIRS);
        }
    }

    private final int maxRequests;
    private final int maxParamsBytes;
    private final int maxBodyBytes;
    private final Listener listener;
    private final Map<Integer, Stream> openStreams = new HashMap<>();
    private boolean closing;

    /**
     * None open.
     *
     * @param mostRequests open at a time
     * @param mostParams bytes of one request's names and values
     * @param mostBody bytes of one request's body
     */
    public ClientStreams(int mostRequests, int mostParams, int mostBody, Listener listener) {
        this.maxRequests = mostRequests;
        this.maxParamsBytes = mostParams;
        this.maxBodyBytes = mostBody;
        this.listener = listener;
    }

    /**
     * Takes a record in; its content is not kept.
     *
     * @throws FcgiException if requests can't be told apart any more: the connection is to be ended
     */
    public void read(FcgiRecord record) throws FcgiException {
        if (closing) {
            return;
        }
        Type type = record.type();
        if (record.id() == 0) {
            handleManagement(type, record);
            return;
        }
        if (type == Type.BEGIN_REQUEST) {
            beginRequest(record);
            return;
        }
        // Of a request that is not open, records are passed over, as the specification has it.
        Stream stream = openStreams.get(record.id());
        if (stream == null || stream.awaitsAnswer && type != Type.ABORT_REQUEST) {
            return;
        }
        switch (type == null ? Type.UNKNOWN_TYPE : type) {
            case PARAMS -> readParams(record.id(), stream, record.content());
            case STDIN -> readBody(record.id(), stream, record.content());
            case ABORT_REQUEST -> {
                if (stream.awaitsAnswer) {
                    listener.onAbort(record.id());
                } else {
                    end(record.id(), ProtocolStatus.REQUEST_COMPLETE, 0);
                }
            }
            case DATA -> {}
            default -> throw new FcgiException("a client does not send records of type " + record.typeNumber());
        }
    }

    private void handleManagement(Type type, FcgiRecord record) {
        if (type != Type.GET_VALUES) {
            listener.write(new FcgiRecord(
                    Type.UNKNOWN_TYPE,
                    0,
                    Unpooled.buffer(CONTROL_CONTENT_BYTES)
                            .writeByte(record.typeNumber())
                            .writeZero(CONTROL_CONTENT_BYTES - 1)));
            return;
        }
        NameValues asked = new NameValues(MAX_GET_VALUES_BYTES, MAX_PAIRS);
        Map<String, String> told = new LinkedHashMap<>();
        try {
            asked.add(record.content());
        } catch (FcgiException e) {
            asked.pairs().clear(); // A question that can't be read is answered with nothing.
        }
        for (String name : asked.pairs().keySet()) {
            switch (name) {
                case "FCGI_MAX_CONNS", "FCGI_MAX_REQS" -> told.put(name, Integer.toString(maxRequests));
                case "FCGI_MPXS_CONNS" -> told.put(name, "1");
                default -> {}
            }
        }
        ByteBuf answer = Unpooled.buffer();
        NameValues.write(told, answer);
        listener.write(new FcgiRecord(Type.GET_VALUES_RESULT, 0, answer));
    }

    private void beginRequest(FcgiRecord record) throws FcgiException {
        ByteBuf content = record.content();
        if (content.readableBytes() != CONTROL_CONTENT_BYTES) {
            throw new FcgiException("a request's begin of " + content.readableBytes() + " bytes");
        }
        if (openStreams.containsKey(record.id())) {
            throw new FcgiException("request " + record.id() + " begins twice");
        }
        int role = content.getUnsignedShort(content.readerIndex());
        boolean keep = (content.getByte(content.readerIndex() + 2) & KEEP_CONNECTION_FLAG) != 0;
        Stream stream = new Stream(keep, maxParamsBytes);
        openStreams.put(record.id(), stream);
        if (role != RESPONDER_ROLE) {
            end(record.id(), ProtocolStatus.UNKNOWN_ROLE, 0);
        } else if (openStreams.size() > maxRequests) {
            end(record.id(), ProtocolStatus.OVERLOADED, 0);
        }
    }

    private void readParams(int id, Stream stream, ByteBuf content) {
        if (stream.params.isEnded()) {
            reject(id, BAD_REQUEST, "parameters after their end");
            return;
        }
        try {
            stream.params.add(content);
            if (stream.params.isEnded()) {
                stream.request = FcgiRequest.of(stream.params.pairs());
                if (stream.request.length() > maxBodyBytes) {
                    reject(id, TOO_LARGE, "body over " + maxBodyBytes + " bytes");
                }
            }
        } catch (FcgiException e) {
            reject(id, BAD_REQUEST, e.getMessage());
        }
    }

    private void readBody(int id, Stream stream, ByteBuf content) {
        if (stream.request == null) {
            reject(id, BAD_REQUEST, "a body before the end of the parameters");
            return;
        }
        int more = content.readableBytes();
        if (more == 0) {
            if (stream.request.length() >= 0 && stream.request.length() != stream.bodyBytes) {
                reject(
                        id,
                        BAD_REQUEST,
                        "a body of " + stream.bodyBytes + " bytes, and CONTENT_LENGTH is " + stream.request.length());
                return;
            }
            stream.awaitsAnswer = true;
            listener.onRequest(id, stream.request, java.util.Arrays.copyOf(stream.body, stream.bodyBytes));
            stream.body = new byte[0];
            return;
        }
        if (stream.bodyBytes + more > maxBodyBytes) {
            reject(id, TOO_LARGE, "body over " + maxBodyBytes + " bytes");
            return;
        }
        if (stream.bodyBytes + more > stream.body.length) {
            stream.body = java.util.Arrays.copyOf(
                    stream.body, Math.min(maxBodyBytes, Math.max(stream.bodyBytes + more, 2 * stream.body.length)));
        }
        content.getBytes(content.readerIndex(), stream.body, stream.bodyBytes, more);
        stream.bodyBytes += more;
    }

    private void reject(int id, int status, String why) {
        answer(
                id,
                status,
                List.of(
                        new String[] {"content-type", "text/plain; charset=utf-8"},
                        new String[] {"content-length", Integer.toString(why.length() + 1)}),
                (why + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** The whole answer to an open request, and its end; of one that is not open nothing is written. */
    public void answer(int id, int status, List<String[]> fields, byte[] body) {
        if (!openStreams.containsKey(id)) {
            return;
        }
        ByteBuf output = Unpooled.buffer();
        FcgiReply.write(status, fields, output);
        output.writeBytes(body);
        NameValues.toRecords(Type.STDOUT, id, output, FcgiRecord.MAX_CONTENT_BYTES)
                .forEach(listener::write);
        output.release();
        end(id, ProtocolStatus.REQUEST_COMPLETE, 0);
    }

    /** Ends an open request; its number may then be used again. */
    public void end(int id, ProtocolStatus status, long appStatus) {
        Stream stream = openStreams.remove(id);
        if (stream == null) {
            return;
        }
        listener.write(new FcgiRecord(
                Type.END_REQUEST,
                id,
                Unpooled.buffer(CONTROL_CONTENT_BYTES)
                        .writeInt((int) appStatus)
                        .writeByte(status.ordinal())
                        .writeZero(3)));
        // Without the client's wish to keep it the connection ends with the request, but not on others'.
        closing |= !stream.keepsConnection;
        if (closing && openStreams.isEmpty()) {
            listener.close();
        }
    }

    /** How many are open. */
    public int size() {
        return openStreams.size();
    }

    /** Whether none is open. */
    public boolean isIdle() {
        return openStreams.isEmpty();
    }
}
