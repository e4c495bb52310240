package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.gateway.wire.AnswerMetadata;
import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.gateway.wire.ForwardMetadata;
import io.jayhead.gateway.wire.UpstreamNotice;
import io.jayhead.gateway.wire.WireDialect;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.registry.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a part of an answer that is taken for the whole: an answer without a length ends with its connection,
 * which a reset ends too.
 */
class UpstreamConnectionTest {

    private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n";

    private final Upstream upstream = new Upstream("i", 0, "s", "127.0.0.1", 1, "z", false, 1);
    private final HeldWrites writes = new HeldWrites();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final UpstreamConnection connection = new UpstreamConnection(
            new IdDialect(),
            new UpstreamConnectionPool(upstream, channel.eventLoop(), new IdDialect(), new IgnoredEvents()),
            UpstreamConnectionPool.IDLE_LIMIT_MS);
    private final RecordedAttempt attempt = new RecordedAttempt();

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void anAnswerWithoutALengthIsNotWholeWhenItsConnectionEndsBeforeTheRequestIsWritten() {
        answerUnframed();
        channel.close();
        assertEquals(List.of("head", "content", "broken"), attempt.events);
    }

    @Test
    void anAnswerWithoutALengthIsNotWholeWhenTheRequestCannotBeWritten() {
        answerUnframed();
        writes.promise.setFailure(new IllegalStateException("reset"));
        channel.close();
        assertEquals(List.of("head", "content", "broken"), attempt.events);
    }

    @Test
    void anAnswerWithoutALengthIsWholeWhenItsConnectionEndsAfterTheRequest() {
        answerUnframed();
        writes.promise.setSuccess();
        channel.close();
        assertEquals(List.of("head", "content", "complete"), attempt.events);
    }

    @Test
    void anAnswerWithoutABodyIsWholeBeforeTheRequestIsWritten() {
        answer("HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n");
        assertEquals(List.of("head", "complete"), attempt.events);
    }

    @Test
    void anAnswerWithAGarbledTransferEncodingIsNotReadUntilTheEndOfTheConnection() {
        answer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: HTTP/1.chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n");
        writes.promise.setSuccess();
        channel.close();
        assertEquals(List.of("broken"), attempt.events);
    }

    private void answerUnframed() {
        answer(UNFRAMED_HEAD + "part");
    }

    private void answer(String text) {
        channel.pipeline().addLast(writes, connection.decoder(), connection);
        connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a"), "r1", attempt);
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Keeps the request from being written until the test decides. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private ChannelPromise promise;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise written) {
            ReferenceCountUtil.release(message);
            promise = written;
        }
    }

    /** Records the events of an attempt. */
    private static final class RecordedAttempt implements AttemptListener {
        private final List<String> events = new ArrayList<>();

        @Override
        public String requestId() {
            return "r1";
        }

        @Override
        public void connected(UpstreamConnection acquired) {
            events.add("connected");
        }

        @Override
        public void notConnected() {
            events.add("not connected");
        }

        @Override
        public void allConnectionsInUse() {
            events.add("all in use");
        }

        @Override
        public void head(HttpResponse answer, AnswerMetadata metadata) {
            events.add("head");
        }

        @Override
        public void content(ByteBuf bytes) {
            events.add("content");
        }

        @Override
        public void complete() {
            events.add("complete");
        }

        @Override
        public void broken(String reason) {
            events.add("broken");
        }
    }

    /** Ignores the events of connections. */
    private static final class IgnoredEvents implements ConnectionListener {
        @Override
        public void opened() {}

        @Override
        public void unsolicited(String incarnation, UnsolicitedBytes kind, String requestId) {}
    }

    /** Reads the request id of answers and nothing else. */
    private static final class IdDialect implements WireDialect {
        @Override
        public String readinessPath() {
            return "/";
        }

        @Override
        public CallerMetadata readCaller(HttpHeaders headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void writeForward(HttpHeaders caller, ForwardMetadata metadata, HttpHeaders target) {
            throw new UnsupportedOperationException();
        }

        @Override
        public AnswerMetadata readAnswer(HttpResponse answer) {
            Optional<String> id = Optional.ofNullable(answer.headers().get("Request-Id"));
            return new AnswerMetadata(
                    id, true, false, false, ReportedLoad.empty(), OptionalLong.empty(), UpstreamNotice.NONE);
        }

        @Override
        public void copyAnswer(HttpHeaders answer, HttpHeaders target) {
            throw new UnsupportedOperationException();
        }
    }
}
