// The protocol between the processes of `serve`: from each VM to the holder of the fleet lease.
//
// Transport: TFramedTransport (at most 65,536 bytes) with the strict binary protocol. A receiver
// skips fields that it doesn't know, so that later versions may add optional ones.
namespace java org.vanilladoor.exchange

// What a VM asks for and gives back for one team, in the unit of the team's allowance.
struct AdvanceRequest {
  1: string team
  // Cost of all requests that wait, and of those that are expected.
  2: double wanted
  // Cost of the request that has waited longest, or 0.
  3: double needed
  4: double returned
}

struct Advance {
  1: string team
  2: double granted
  // Time until the team has room again, or 0 if it has.
  3: i64 millisUntilRoom
}

// Sent by each VM at least every 500 ms while the configuration has an allowance.
struct Heartbeat {
  1: string secret
  2: string vm
  3: string incarnation
  4: i64 sequence
  // Term of the holder to which the sender lends its share of all rates, or 0.
  5: i64 term
  6: optional list<AdvanceRequest> advances
}

struct HeartbeatReply {
  1: i64 term
  2: i64 sequence
  3: optional list<Advance> advances
}

enum RefusalReason {
  WRONG_SECRET = 1
  NOT_HOLDER = 2
}

exception FleetRefusal {
  1: i32 reason
  2: i64 sequence
}

service Fleet {
  HeartbeatReply heartbeat(1: Heartbeat request) throws (1: FleetRefusal refusal)
}
