// Finds the endpoint with the fewest requests of the whole fleet, for pools
// with few slots for the number of hosts. Decision code without I/O: the caller
// supplies the time, the hosts and a function that sends datagrams.
//
// Handles the load of many hosts that each send a small pool a few short calls
// a second: load reports are older than a call takes, and a host's own few
// requests tell it nothing, so that hosts would queue calls at random.
//
// One host, the first in the rendezvous order of the pool, counts the requests
// in flight and grants a slot to each request. Every message to it states all
// that the sender has in flight, so that lost messages, restarts and a new
// granting host are made up for by the next one.

#ifndef LIBFORWARDING_POOL_SLOT_EXCHANGE_H_
#define LIBFORWARDING_POOL_SLOT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/rendezvous.h"
#include "LibCore/time.h"
#include "LibForwarding/grant_reply.h"
#include "LibForwarding/limit_news.h"
#include "LibForwarding/pool_slot_message.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

// A request for a slot.
struct PoolSlotRequest {
  struct Candidate {
    // Hash of the endpoint's id.
    uint64_t endpoint = 0;
    uint32_t slots = 1;
    bool is_near = false;
  };

  core::PoolId pool;
  std::vector<Candidate> candidates = {};
  // How long a request is expected to take at an endpoint, zero if unknown.
  core::Duration service_time{};
  // How long the request may wait for a slot at the endpoint.
  core::Duration max_wait{};
};

enum class PoolSlotOutcome : uint8_t {
  kGranted,
  // Every candidate is full, and the wait there would be too long.
  kFull,
  // The granting host did not answer in time. The caller chooses by itself.
  kUnknown,
};

struct PoolSlotResult {
  PoolSlotOutcome outcome = PoolSlotOutcome::kUnknown;
  // The endpoint that was granted.
  uint64_t endpoint = 0;
  // Time until room is expected, with kFull.
  core::Duration wait{};
};

class PoolSlotExchange {
 public:
  using SendFunction = LimitNews::SendFunction;
  using Callback = std::function<void(const PoolSlotResult& result)>;
  // Returns the number of this host's requests in flight at the endpoint whose
  // id has this hash.
  using InFlightFunction = std::function<uint32_t(uint64_t endpoint)>;

  // Messages are numbered above `first_sequence`, which is higher than all
  // numbers of this host's previous process: a number alone tells to which
  // question an answer belongs, and which report is newer.
  PoolSlotExchange(core::HostId self,
                   InFlightFunction in_flight,
                   SendFunction send,
                   uint64_t first_sequence);

  void SetHosts(const std::vector<core::HostId>& running);

  // Asks for an endpoint for one request that starts at once if it is granted.
  // Returns the answer or calls `callback` later; see GrantReply.
  [[nodiscard]] GrantReply<PoolSlotResult> Acquire(
      const PoolSlotRequest& request,
      core::TimePoint now,
      Callback callback);
  // Reports that a request of this host has ended, or does not start although
  // its slot was granted.
  void OnFinished(const core::PoolId& pool, core::TimePoint now);

  // Sends what is due, and ends questions that got no answer. Must be called
  // every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handle a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnQuestion(const core::HostId& from,
                          std::string_view body,
                          core::TimePoint now);
  absl::Status OnAnswer(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnReport(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);

 private:
  struct Question {
    uint64_t pool = 0;
    core::HostId asked;
    // Hashes of the candidates.
    std::vector<uint64_t> endpoints;
    Callback callback;
    core::TimePoint ends_at;
  };
  // A slot whose holder has not reported it yet.
  struct UnreportedGrant {
    uint64_t sequence = 0;
    uint32_t endpoint = 0;
  };
  // What one host has in flight in a pool.
  struct Holder {
    uint64_t sequence = 0;
    std::vector<PoolSlotCount> counts;
    std::vector<UnreportedGrant> grants;
    core::TimePoint heard_at;
  };
  using Holders = std::map<core::HostId, Holder>;

  core::HostId GranterOf(uint64_t pool) const;
  PoolSlotReport MakeReport(uint64_t pool);
  // Records what a host said. Returns the holder.
  Holder& RecordHolder(const core::HostId& host,
                       const PoolSlotReport& report,
                       core::TimePoint now);
  // Returns the requests in flight of all hosts, by endpoint.
  absl::flat_hash_map<uint32_t, uint32_t> Taken(uint64_t pool,
                                                core::TimePoint now) const;
  PoolSlotAnswer Grant(const core::HostId& host,
                       const PoolSlotQuestion& question,
                       core::TimePoint now);
  void SendReport(uint64_t pool, core::TimePoint now);
  void EndUnanswered(core::TimePoint now);

  const core::HostId self_;
  const InFlightFunction in_flight_;
  const SendFunction send_;
  std::vector<core::HostId> running_;
  std::vector<core::RendezvousCandidate> candidates_;

  // By the hash of the pool.
  absl::flat_hash_map<uint64_t, Holders> holders_;
  // Hashes of the endpoints that this host asked about, by pool.
  absl::flat_hash_map<uint64_t, std::set<uint64_t>> endpoints_;
  // Pools in which this host has, or had at the last report, requests.
  std::set<uint64_t> reported_;
  std::map<uint64_t, Question> questions_;
  std::map<core::HostId, core::TimePoint> silent_until_;
  // Questions in a row that each host has not answered.
  std::map<core::HostId, int> unanswered_;
  uint64_t sequence_;
  core::TimePoint next_reports_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_POOL_SLOT_EXCHANGE_H_
