// The protocol between entries. Every request carries the system's credential and its sender.
namespace java org.vanilladoor.generated

// A process as its peers know it. A higher heartbeat replaces a lower one of the same incarnation.
struct Member {
  1: string name
  2: string incarnation
  3: string failureDomain
  4: string peerAddress
  5: i64 heartbeat
  6: bool leaving
}

// The load of an endpoint as its poller saw it.
struct LoadDigest {
  1: string endpoint
  2: i32 ageMillis
  3: i32 role
  4: bool changing
  5: i32 requests
  6: i64 waitingPromptTokens
  7: i32 maximumStreams
  8: string appliedOrder
  9: bool leaving
}

struct Exchange {
  1: string credential
  2: Member sender
  3: list<Member> members
  4: i64 configurationVersion
  5: list<LoadDigest> loads
  // Age of the sender's last word from the platform or from another failure domain.
  6: i32 informedAgeMillis
}

// What one process counted for a team in a window; figures only grow.
struct Counter {
  // Place of the counting process in the batch's list.
  1: i32 incarnationIndex
  2: i64 window
  3: string team
  4: i64 requests
  5: i64 promptTokens
  6: i64 outputTokens
}

struct CounterBatch {
  1: string credential
  2: list<string> incarnations
  3: list<Counter> counters
}

// Stops or allows new work at an endpoint before a planned change.
struct DrainRequest {
  1: string credential
  2: string endpoint
  3: string drainIdentifier
  4: i64 term
  5: bool drained
}

struct DrainReply {
  1: bool accepted
  2: i32 ownRequests
}

// Asks a process to give up sending orders that it wrote under terms up to the given one.
struct StopOrdersRequest {
  1: string credential
  2: string scope
  3: string incarnation
  4: i64 term
}

struct StopOrdersReply {
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
