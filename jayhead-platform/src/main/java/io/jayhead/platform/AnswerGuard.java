package io.jayhead.platform;

import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Refuses answers that are none in HTTP/1.1, or only a part of one, which the client reads leniently: a status out of
 * range, a line that is no header, and an answer without a length on a connection that ended while its request was
 * written. Such a call fails as one without an answer does, and its connection is closed.
 *
 * <p>It also hides a Retry-After of zero seconds. The client by itself sends a request again that is answered 503 with
 * it, although the first one may have run.
 *
 * <p>It is a network interceptor, so that it sees the answer as it was received.
 */
public final class AnswerGuard implements Interceptor {

    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final String RETRY_AFTER = "Retry-After";
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final char DELETE = '\u007f';

    @Override
    public Response intercept(Chain chain) throws IOException {
        TrackedBody body = TrackedBody.of(chain.request().body());
        Request request = chain.request()
                .newBuilder()
                .method(chain.request().method(), body)
                .build();
        Response answer = chain.proceed(request);
        String fault = fault(answer, body);
        if (!fault.isEmpty()) {
            chain.call().cancel();
            answer.close();
            throw new ProtocolException(fault);
        }
        return allowsImmediateRetry(answer)
                ? answer.newBuilder().removeHeader(RETRY_AFTER).build()
                : answer;
    }

    private static boolean allowsImmediateRetry(Response answer) {
        String seconds = answer.header(RETRY_AFTER, "");
        return !seconds.isEmpty() && seconds.chars().allMatch(digit -> digit == '0');
    }

    private static String fault(Response answer, TrackedBody body) {
        if (answer.code() < FIRST_STATUS || answer.code() > LAST_STATUS) {
            return "an answer with status " + answer.code();
        }
        if (!areSound(answer.headers())) {
            return "an answer with a line that is no header";
        }
        boolean cutOff = body != null && !body.isWritten();
        return cutOff && !isFramed(answer) ? "an answer that ended while its request was written" : "";
    }

    /** Tells whether all lines are headers (RFC 9110, section 5); the client takes other lines for headers too. */
    private static boolean areSound(Headers headers) {
        for (int index = 0; index < headers.size(); index++) {
            String name = headers.name(index);
            boolean isToken = !name.isEmpty() && name.chars().allMatch(AnswerGuard::isTokenCharacter);
            if (!isToken || !headers.value(index).chars().allMatch(AnswerGuard::isText)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isTokenCharacter(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_PUNCTUATION.indexOf(character) >= 0;
    }

    private static boolean isText(int character) {
        return character == '\t' || character >= ' ' && character != DELETE;
    }

    /** Tells whether an answer names its own end. */
    private static boolean isFramed(Response answer) {
        return answer.header("Content-Length") != null || answer.header("Transfer-Encoding") != null;
    }
}
