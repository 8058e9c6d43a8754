package gradereach.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.EncoderBase;
import org.slf4j.LoggerFactory;

/** Configures logging of a front end: JSON or plain lines on standard error, written asynchronously. */
final class LogSetup {
    /** Lines that wait to be written, about a second of inference lines; further lines are dropped, so that logging never blocks. */
    private static final int QUEUE_CAPACITY = 8192;

    private LogSetup() { }

    /** @param inferenceLines whether to log a line for each inference */
    static void configure(boolean json, String level, boolean inferenceLines) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        EncoderBase<ILoggingEvent> encoder = json ? jsonEncoder() : plainEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.setImmediateFlush(true);
        console.start();
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(QUEUE_CAPACITY);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.addAppender(console);
        async.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(async);
        context.getLogger("gradereach").setLevel(Level.toLevel(level, Level.INFO));
        if (!inferenceLines) {
            context.getLogger("gradereach.inferences").setLevel(Level.WARN);
        }
    }

    private static EncoderBase<ILoggingEvent> jsonEncoder() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.setWithThreadName(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static EncoderBase<ILoggingEvent> plainEncoder() {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %msg %kvp%n");
        return encoder;
    }
}
