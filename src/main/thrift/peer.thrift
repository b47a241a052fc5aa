// The protocol between entries. Every request carries the system credential.
namespace java org.vanilladoor.generated

// The membership record of an entry process. Of two records of the same incarnation the one with the
// higher heartbeat is newer.
struct Member {
  1: string name
  2: string incarnation
  3: string failureDomain
  4: string peerAddress
  5: i64 heartbeat
  6: bool leaving
}

// The last load report of an endpoint.
struct LoadDigest {
  1: string endpoint
  // Time since the report was requested from the endpoint.
  2: i32 ageMillis
  // Ordinal of the constant of EngineRole.
  3: i32 role
  4: bool changing
  5: i32 requests
  6: i64 waitingPromptTokens
  7: i32 maximumStreams
  8: string appliedOrder
  9: bool leaving
}

// A gossip message; the reply to it has the same form.
struct Exchange {
  1: string credential
  2: Member sender
  3: list<Member> members
  4: i64 configurationVersion
  5: list<LoadDigest> loads
  // Time since the sender, or another entry of its failure domain, last had a response from the
  // platform or a message from another failure domain.
  6: i32 informedAgeMillis
}

// The usage that one process counted for a team in a usage window. Figures never decrease.
struct Counter {
  // Index of the counting process in CounterBatch.incarnations.
  1: i32 incarnationIndex
  2: i64 window
  3: string team
  4: i64 requests
  5: i64 promptTokens
  6: i64 outputTokens
}

// Usage counts, each with the process that counted it.
struct CounterBatch {
  // Empty in a reply.
  1: string credential
  2: list<string> incarnations
  3: list<Counter> counters
}

// Stops new work at an endpoint before a planned change, or allows it again.
struct DrainRequest {
  1: string credential
  2: string endpoint
  // Name of the scope whose lease holder sends the request.
  3: string drainIdentifier
  // Term of the lease under which the request is sent; a request with an outdated term is ignored.
  4: i64 term
  5: bool drained
}

struct DrainReply {
  // False if the term of the request is outdated.
  1: bool accepted
  // Number of calls that the replying process has in progress at the endpoint.
  2: i32 ownRequests
}

// Asks a process to stop sending the orders that it wrote in terms up to the given one.
struct StopOrdersRequest {
  1: string credential
  2: string scope
  // Writer of the orders: name of its VM and incarnation, separated by a slash.
  3: string incarnation
  4: i64 term
}

struct StopOrdersReply {
  // Whether the process has sent none of the unsettled orders and will send none.
  1: bool stopped
}

exception PeerRefusal {
  1: string message
}

service Peer {
  Exchange exchange(1: Exchange request) throws (1: PeerRefusal refusal)
  binary fetchHead(1: string credential) throws (1: PeerRefusal refusal)
  binary fetchPart(1: string credential, 2: string digest) throws (1: PeerRefusal refusal)
  void putCounters(1: CounterBatch batch) throws (1: PeerRefusal refusal)
  CounterBatch readCounters(1: string credential) throws (1: PeerRefusal refusal)
  DrainReply drain(1: DrainRequest request) throws (1: PeerRefusal refusal)
  StopOrdersReply stopOrders(1: StopOrdersRequest request) throws (1: PeerRefusal refusal)
}
