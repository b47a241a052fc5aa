package org.vanilladoor.key;

import static com.google.common.truth.Truth.assertThat;

import java.security.SecureRandom;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which keys are accepted. */
class KeyRingTests {
    private final IssuedKey mIssued = IssuedKey.create("harbour", new SecureRandom());

    @Test
    void anIssuedKeyIsAcceptedForItsTeam() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record()));
        assertThat(ring.authenticate(mIssued.key()).orElseThrow().team()).isEqualTo("harbour");
    }

    @Test
    void aWithdrawnKeyIsRefused() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record().asWithdrawn()));
        assertThat(ring.authenticate(mIssued.key())).isEmpty();
        assertThat(ring.isValid(mIssued.record().identifier())).isFalse();
    }

    @Test
    void aKeyWithAnotherSecretIsRefused() {
        KeyRing ring = KeyRing.of(List.of(mIssued.record()));
        assertThat(ring.authenticate("vd_" + mIssued.record().identifier() + "_00")).isEmpty();
        assertThat(ring.authenticate("")).isEmpty();
        assertThat(ring.authenticate("__")).isEmpty();
    }

    @Test
    void theStoredRecordDoesNotContainTheSecret() {
        String secret = mIssued.key().substring(mIssued.key().lastIndexOf('_') + 1);
        assertThat(mIssued.record().toString()).doesNotContain(secret);
    }
}
