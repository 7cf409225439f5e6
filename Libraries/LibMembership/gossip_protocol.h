// The membership protocol (SWIM with the local health of Lifeguard) as pure
// decision code: time, randomness and sending are handed in.
//
// Each member probes one other per period, directly and then through others.
// One that doesn't answer is suspected; it can refute that with a higher
// incarnation, else it is declared gone. News rides on probes and on short
// gossip rounds; a slow comparison of digests repairs what those missed. All
// rates are per member and don't depend on the size of the fleet.

#ifndef LIBMEMBERSHIP_GOSSIP_PROTOCOL_H_
#define LIBMEMBERSHIP_GOSSIP_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibMembership/gossip_message.h"
#include "LibMembership/member_directory.h"
#include "LibMembership/probe_order.h"
#include "LibMembership/token_bucket.h"
#include "LibMembership/update_queue.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"

namespace wasabi::membership {

// How often Tick is to be called.
constexpr core::Duration kGossipTick = core::milliseconds(100);

struct GossipOptions {
  // This daemon. Its incarnation is the first of a new generation.
  Member self;
  // Time between two probes that this member sends.
  core::Duration probe_period = core::seconds(1);
  // Time without an answer after which others are asked to probe.
  core::Duration probe_timeout = core::milliseconds(300);
  // Time between two comparisons of the table with another member's.
  core::Duration pull_period = core::seconds(5);
  // Time between two contacts with an address that isn't in the table.
  core::Duration seed_period = core::seconds(2);
  // Time for which members that are gone are remembered.
  core::Duration gone_memory = core::seconds(120);
  // Limits on gossip rounds and on answers to comparisons, in bytes a second
  // with the headers of datagrams.
  double gossip_rate = 8000;
  double answer_rate = 4000;
};

// A member whose state changed. `before` is kGone for one that is new.
struct MemberChange {
  core::HostId id;
  MemberState before = MemberState::kGone;
  MemberState after = MemberState::kGone;

  auto operator<=>(const MemberChange&) const = default;
};

class GossipProtocol {
 public:
  using SendFunction = std::function<void(const core::SocketAddress& to,
                                          std::string_view datagram)>;

  GossipProtocol(GossipOptions options,
                 uint64_t random_seed,
                 SendFunction send,
                 core::TimePoint now);

  // Does what is due; to be called every kGossipTick.
  void Tick(core::TimePoint now);

  // Takes a datagram of one of the protocol's own kinds. Errors: kUnknownSender
  // for an IP number that is neither of a member nor of a seed,
  // kMalformedMessage, kVersionMismatch.
  absl::Status OnDatagram(const core::SocketAddress& from,
                          std::string_view datagram,
                          core::TimePoint now);

  // True when datagrams from this IP number are accepted.
  bool IsKnown(uint32_t ip) const;

  // Gossip addresses from the platform's host list, which may lag.
  void SetSeeds(const std::vector<core::SocketAddress>& seeds);

  // Tells everyone that this daemon takes no new work.
  void AnnounceLeaving(core::TimePoint now);

  // Tells everyone which configuration record was applied last. Spread at most
  // once a second; lower offsets are ignored.
  void SetAppliedOffset(int64_t offset, core::TimePoint now);

  // An immutable copy of the table; the same one as long as nothing changed.
  MemberTableView table() const { return directory_.Table(); }
  const Member& self() const { return *directory_.Find(self_hash_); }
  const Member* FindByAddress(const core::SocketAddress& address) const {
    return directory_.FindByAddress(address);
  }

  // The changes of state since the last call.
  std::vector<MemberChange> TakeChanges();

  // Grows whenever the table changes, offsets included.
  uint64_t version() const { return version_; }

 private:
  struct OutstandingProbe {
    uint64_t target = 0;
    uint32_t sequence = 0;
    core::TimePoint indirect_at{};
    core::TimePoint failed_at{};
    bool is_indirect = false;
  };
  // A probe sent for another member.
  struct Relay {
    core::SocketAddress origin;
    uint32_t origin_sequence = 0;
    core::TimePoint expires_at{};
  };
  struct Suspicion {
    core::TimePoint started_at{};
    core::TimePoint deadline{};
    core::TimePoint HalfTime() const {
      return started_at + (deadline - started_at) / 2;
    }
  };
  // How news came in: by gossip, which passes it on, or by a comparison.
  enum class Channel : uint8_t { kGossip, kComparison };

  // Messages.
  absl::Status OnProbe(const core::SocketAddress& from,
                       std::string_view body,
                       core::TimePoint now);
  absl::Status OnAck(const core::SocketAddress& from,
                     std::string_view body,
                     core::TimePoint now);
  absl::Status OnIndirectProbe(const core::SocketAddress& from,
                               std::string_view body,
                               core::TimePoint now);
  absl::Status OnGossip(const core::SocketAddress& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnPull(const core::SocketAddress& from,
                      std::string_view body,
                      core::TimePoint now);
  absl::Status OnRecords(const core::SocketAddress& from,
                         std::string_view body,
                         core::TimePoint now);

  // Probing.
  void AdvanceProbe(core::TimePoint now);
  void StartProbe(core::TimePoint now);
  std::optional<uint64_t> NextProbeTarget();
  void SendProbe(const Member& target, uint32_t sequence);
  void SendIndirectProbes();
  void FailProbe(core::TimePoint now);

  // Suspicion.
  void Suspect(uint64_t id_hash, core::TimePoint now);
  void ExpireSuspicions(core::TimePoint now);
  core::Duration SuspicionTime() const;
  // True when nothing was heard from any of several members, so that the fault
  // is more likely here than there.
  bool IsIsolated(core::TimePoint now) const;
  // Starts all suspicions anew, after a time in which this member could not
  // judge.
  void RestartSuspicions(core::TimePoint now);

  // News.
  void Learn(const Updates& updates,
             const core::SocketAddress& from,
             core::TimePoint now);
  MergeResult LearnRecord(const Member& record,
                          Channel channel,
                          core::TimePoint now);
  MergeResult LearnStatus(MemberStatus status,
                          Channel channel,
                          core::TimePoint now);
  // A claim "gone" counts as a suspicion only, until this member has suspected
  // on its own for a while.
  MemberState BelievedState(const MemberStatus& claim,
                            core::TimePoint now) const;
  void AfterMerge(MergeResult result,
                  const MemberChange& change,
                  Channel channel,
                  bool with_record,
                  core::TimePoint now);
  void Refute(const MemberStatus& claim, core::TimePoint now);
  void UpdateSelf(const Member& self, core::TimePoint now);
  void PublishOffset(core::TimePoint now);
  void SpreadNews(core::TimePoint now);
  // News to ride on a message to `to`; what `to` should know about itself goes
  // first.
  Updates PiggybackFor(const core::SocketAddress& to);

  // Comparison.
  // Compares in the other direction too, where that hasn't been done lately.
  void PullBack(const core::SocketAddress& from,
                const PullMessage& pull,
                core::TimePoint now);
  void SendPull(const core::SocketAddress& to, std::vector<uint64_t> wanted);
  void PullWhenDue(core::TimePoint now);
  void ContactSeedWhenDue(core::TimePoint now);
  std::vector<core::SocketAddress> AbsentAddresses() const;
  std::vector<const Member*> SelectRecords(const core::SocketAddress& from,
                                           const PullMessage& pull);
  void SendRecords(const core::SocketAddress& to,
                   const std::vector<const Member*>& records,
                   size_t max_datagrams,
                   core::TimePoint now);

  const Member* RandomPeer();

  const GossipOptions options_;
  const uint64_t self_hash_;
  const SendFunction send_;
  core::RandomSource random_;
  MemberDirectory directory_;
  UpdateQueue queue_;
  ProbeOrder probe_order_;
  ProbeOrder gossip_order_;
  std::vector<core::SocketAddress> seeds_;
  absl::flat_hash_set<uint32_t> seed_ips_;
  std::optional<OutstandingProbe> probe_;
  absl::flat_hash_map<uint32_t, Relay> relays_;
  // Ordered, so that a run in virtual time can be repeated from its seed.
  std::map<uint64_t, Suspicion> suspicions_;
  TokenBucket gossip_bucket_;
  TokenBucket answer_bucket_;
  std::vector<MemberChange> changes_;
  uint64_t version_ = 0;
  uint32_t sequence_ = 0;
  // Lifeguard's local health: 0 is good; higher values stretch all timeouts.
  int health_ = 0;
  int64_t wanted_offset_ = -1;
  core::TimePoint next_probe_at_;
  core::TimePoint next_pull_at_;
  core::TimePoint next_pull_back_at_;
  // Until then comparisons are frequent: a member that joined lately may be a
  // stranger to some, who drop its datagrams.
  core::TimePoint unsettled_until_;
  core::TimePoint next_seed_at_;
  core::TimePoint next_offset_at_;
  core::TimePoint next_forget_at_;
  core::TimePoint last_tick_;
  core::TimePoint last_heard_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_PROTOCOL_H_
