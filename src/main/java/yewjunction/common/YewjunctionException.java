package yewjunction.common;

/** A failure with a code; each layer makes its own and wraps those from below. */
public class YewjunctionException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient ErrorCode code;

    /** Codes of all layers; operators find them in docs/events.md. */
    public enum ErrorCode {
        SETTINGS_MISSING, SETTINGS_UNREADABLE, SETTINGS_FIELD,
        CONFIG_UNREADABLE, CONFIG_FIELD, CONFIG_PLACE, CONFIG_TIMEOUT, CONFIG_SERVICE, CONFIG_KEY, CONFIG_VERSION,
        LINK_GARBLED,
        FILTER_BAD, FILTER_TOOBIG,
        LEDGER_DAMAGED, LEDGER_DISK, LEDGER_FULL,
        LETTER_UNKNOWN, LETTER_GARBLED
    }

    public YewjunctionException(final ErrorCode code, final String text) {
        super(text);
        this.code = code;
    }

    public YewjunctionException(final ErrorCode code, final String text, final Throwable cause) {
        super(text, cause);
        this.code = code;
    }

    public ErrorCode code() {
        return code;
    }
}
