package org.vanilladoor.common;

import java.util.ArrayList;
import java.util.List;

/**
 * Bytes that arrive in pieces.
 *
 * <p>Unlike a {@link java.io.ByteArrayOutputStream} it takes no more memory than its content, and
 * joins the pieces only once. Not safe for use by several threads.
 */
public final class PieceBuffer {
    private final List<byte[]> mPieces = new ArrayList<>();
    private int mSize;

    private PieceBuffer() {}

    /** Returns a buffer without content. */
    public static PieceBuffer create() {
        return new PieceBuffer();
    }

    /** Adds a piece, which must not be modified any more. */
    public void add(byte[] piece) {
        if (piece.length > 0) {
            mPieces.add(piece);
            mSize += piece.length;
        }
    }

    public int size() {
        return mSize;
    }

    /** Returns the content, which must not be modified. */
    public byte[] toByteArray() {
        if (mPieces.size() != 1) {
            byte[] joined = new byte[mSize];
            int position = 0;
            for (byte[] piece : mPieces) {
                System.arraycopy(piece, 0, joined, position, piece.length);
                position += piece.length;
            }
            clear();
            add(joined);
            return joined;
        }
        return mPieces.get(0);
    }

    public void clear() {
        mPieces.clear();
        mSize = 0;
    }
}
