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
 * Demultiplexes the requests of one FastCGI client connection: tracks which are open and how far each has been read,
 * and produces the records that answer them. A protocol error ends its own request with a 4xx where possible, and the
 * connection only if requests can't be told apart any more. Does no I/O; not thread-safe, so call it from the
 * connection's event loop.
 */
public final class ClientStreams {
    private static final int CONTROL_CONTENT_BYTES = 8;
    private static final int RESPONDER_ROLE = 1;
    private static final int KEEP_CONNECTION_FLAG = 1;
    private static final int MAX_GET_VALUES_BYTES = 4_096;
    private static final int MAX_PAIRS = 256;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;

    /** Receives the events of a connection. Called from within {@link #read}, {@link #answer} and {@link #end}. */
    public interface Listener {
        /** A request is complete; the listener must call {@link ClientStreams#end} or {@link #answer} for it. */
        void onRequest(int id, FcgiRequest request, byte[] body);

        /** The client has aborted a request that was passed to {@link #onRequest}; it still needs its end. */
        void onAbort(int id);

        /** Writes a record to the client; the listener must release it. */
        void write(FcgiRecord record);

        /** Closes the connection after all written records have been flushed. */
        void close();
    }

    /** An open request. */
    private static final class Stream {
        private final boolean keepsConnection;
        private final NameValues params;
        private FcgiRequest request;
        private byte[] body = new byte[0];
        private int bodyBytes;
        /** Whether it was passed to the listener and has no answer yet. */
        private boolean awaitsAnswer;

        Stream(boolean keepsConnection, int maxParamsBytes) {
            this.keepsConnection = keepsConnection;
            params = new NameValues(maxParamsBytes, MAX_PAIRS);
        }
    }

    private final int maxRequests;
    private final int maxParamsBytes;
    private final int maxBodyBytes;
    private final Listener listener;
    private final Map<Integer, Stream> openStreams = new HashMap<>();
    private boolean closing;

    /**
     * Creates a connection without open requests.
     *
     * @param maxRequests maximum number of open requests
     * @param maxParamsBytes maximum bytes of one request's names and values
     * @param maxBodyBytes maximum bytes of one request's body
     * @param listener receives the events
     */
    public ClientStreams(int maxRequests, int maxParamsBytes, int maxBodyBytes, Listener listener) {
        this.maxRequests = maxRequests;
        this.maxParamsBytes = maxParamsBytes;
        this.maxBodyBytes = maxBodyBytes;
        this.listener = listener;
    }

    /**
     * Processes a record; the caller keeps ownership of its content.
     *
     * @throws FcgiException if requests can't be told apart any more; the connection must then be closed
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
        // Records of a request that is not open are ignored, as the specification says.
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
        NameValues requested = new NameValues(MAX_GET_VALUES_BYTES, MAX_PAIRS);
        Map<String, String> values = new LinkedHashMap<>();
        try {
            requested.add(record.content());
        } catch (FcgiException e) {
            requested.pairs().clear(); // A malformed query gets an empty answer.
        }
        for (String name : requested.pairs().keySet()) {
            switch (name) {
                case "FCGI_MAX_CONNS", "FCGI_MAX_REQS" -> values.put(name, Integer.toString(maxRequests));
                case "FCGI_MPXS_CONNS" -> values.put(name, "1");
                default -> {}
            }
        }
        ByteBuf answer = Unpooled.buffer();
        NameValues.write(values, answer);
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
        boolean keepsConnection = (content.getByte(content.readerIndex() + 2) & KEEP_CONNECTION_FLAG) != 0;
        Stream stream = new Stream(keepsConnection, maxParamsBytes);
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
        int addedBytes = content.readableBytes();
        if (addedBytes == 0) {
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
        if (stream.bodyBytes + addedBytes > maxBodyBytes) {
            reject(id, TOO_LARGE, "body over " + maxBodyBytes + " bytes");
            return;
        }
        if (stream.bodyBytes + addedBytes > stream.body.length) {
            stream.body = java.util.Arrays.copyOf(
                    stream.body,
                    Math.min(maxBodyBytes, Math.max(stream.bodyBytes + addedBytes, 2 * stream.body.length)));
        }
        content.getBytes(content.readerIndex(), stream.body, stream.bodyBytes, addedBytes);
        stream.bodyBytes += addedBytes;
    }

    private void reject(int id, int status, String reason) {
        answer(
                id,
                status,
                List.of(
                        new String[] {"content-type", "text/plain; charset=utf-8"},
                        new String[] {"content-length", Integer.toString(reason.length() + 1)}),
                (reason + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Writes a complete response to an open request and ends it; does nothing if the request is not open.
     *
     * @param id of the request
     * @param status HTTP status
     * @param fields names and values
     * @param body complete response body
     */
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

    /**
     * Ends an open request, whose id may then be used again; does nothing if it is not open.
     *
     * @param appStatus the application's exit status
     */
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
        // A request without the keep flag closes the connection, once the other open requests have ended.
        closing |= !stream.keepsConnection;
        if (closing && openStreams.isEmpty()) {
            listener.close();
        }
    }

    /** The number of open requests. */
    public int size() {
        return openStreams.size();
    }

    /** Whether no request is open. */
    public boolean isIdle() {
        return openStreams.isEmpty();
    }
}
