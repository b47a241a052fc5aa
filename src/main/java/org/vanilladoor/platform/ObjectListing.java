package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The objects of a kind in the platform's store.
 *
 * <p>Immutable, provided that no caller modifies the objects.
 *
 * @param items the objects that are of use, in the platform's format
 * @param version version of the store at which they were listed
 */
record ObjectListing(List<JsonNode> items, long version) {}
