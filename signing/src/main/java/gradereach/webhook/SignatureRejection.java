package gradereach.webhook;

/** Why a message's signature was not taken; the word is for the client and tells nothing of keys. */
public enum SignatureRejection {
    NO_ID("webhook-id is missing, too long or holds a character that is not printable"),
    NO_TIMESTAMP("webhook-timestamp is missing or no whole number of seconds"),
    NO_SIGNATURE("webhook-signature is missing or holds no signature of scheme v1 or v1a"),
    TOO_OLD("webhook-timestamp is more than the tolerance in the past"),
    TOO_NEW("webhook-timestamp is more than the tolerance in the future"),
    NOT_SIGNED("webhook-signature is none of a known key over this message");

    public final String detail;

    SignatureRejection(String word) {
        this.detail = word;
    }
}
