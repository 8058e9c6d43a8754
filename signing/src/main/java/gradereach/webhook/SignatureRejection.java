package gradereach.webhook;

/** Why a message was rejected; the detail is sent to the client and reveals nothing about keys. */
public enum SignatureRejection {
    NO_ID("webhook-id is missing, too long or holds a character that is not printable"),
    NO_TIMESTAMP("webhook-timestamp is missing or no whole number of seconds"),
    NO_SIGNATURE("webhook-signature is missing or holds no signature of scheme v1 or v1a"),
    TOO_OLD("webhook-timestamp is more than the tolerance in the past"),
    TOO_NEW("webhook-timestamp is more than the tolerance in the future"),
    NOT_SIGNED("webhook-signature is none of a known key over this message");

    /** The reason in words, as it is sent to the client. */
    public final String detail;

    SignatureRejection(String detail) {
        this.detail = detail;
    }
}
