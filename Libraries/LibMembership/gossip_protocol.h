// Implements the membership protocol: SWIM with Lifeguard's local health score.
// It is decision code without I/O: the caller supplies the time, the random
// seed and a function that sends datagrams.
//
// Each member probes one other member per period, first directly and then
// indirectly through other members. A member that doesn't respond is suspected.
// It can refute the suspicion with a higher incarnation; otherwise it is
// declared gone. Updates are piggybacked on probes and sent in short gossip
// rounds. Infrequent anti-entropy exchanges compare digests of the member
// tables and repair what gossip has missed. All rates are per member and
// independent of the size of the fleet.

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
#include "LibMembership/peer_rotation.h"
#include "LibMembership/token_bucket.h"
#include "LibMembership/update_queue.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"

namespace wasabi::membership {

// Period at which GossipProtocol::Tick must be called.
constexpr core::Duration kGossipTick = core::milliseconds(100);

struct GossipOptions {
  // This daemon. Its incarnation must be the first of a new generation.
  Member self;
  // Time between two probes sent by this member.
  core::Duration probe_period = core::seconds(1);
  // Time without an ack after which other members are asked to probe
  // indirectly.
  core::Duration probe_timeout = core::milliseconds(300);
  // Time between two anti-entropy exchanges started by this member.
  core::Duration pull_period = core::seconds(5);
  // Time between two attempts to contact a gone member or a seed that isn't in
  // the table.
  core::Duration seed_period = core::seconds(2);
  // Time after which the record of a gone member is removed.
  core::Duration gone_retention = core::seconds(120);
  // Limits on gossip rounds and on responses to anti-entropy requests, in bytes
  // per second including IP and UDP headers.
  double gossip_rate = 8000;
  double answer_rate = 4000;
};

// A state change of a member. `before` is kGone for a new member.
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

  // Runs all timed work: probes, suspicion timeouts, gossip and anti-entropy.
  // Must be called every kGossipTick.
  void Tick(core::TimePoint now);

  // Handles a received datagram of one of the protocol's own kinds. Returns
  // kUnknownSender if the source IP address belongs to neither a member nor a
  // seed, kMalformedMessage if the datagram can't be decoded or has an unknown
  // kind, and kVersionMismatch if its version is unsupported.
  absl::Status OnDatagram(const core::SocketAddress& from,
                          std::string_view datagram,
                          core::TimePoint now);

  // Returns true if datagrams from this IP address are accepted.
  bool IsKnown(uint32_t ip) const;

  // Replaces the gossip addresses used to join the fleet. They come from the
  // platform's host list, which may be out of date.
  void SetSeeds(const std::vector<core::SocketAddress>& seeds);

  // Announces to all members that this daemon accepts no new work.
  void AnnounceLeaving(core::TimePoint now);

  // Announces the offset of the last applied configuration record to all
  // members, limited to once per second. Offsets lower than an earlier one are
  // ignored.
  void SetAppliedOffset(int64_t offset, core::TimePoint now);

  // Returns an immutable snapshot of the table, which is shared until the next
  // change.
  MemberTableSnapshot table() const { return directory_.Table(); }
  const Member& self() const { return *directory_.Find(self_hash_); }
  const Member* FindByAddress(const core::SocketAddress& address) const {
    return directory_.FindByAddress(address);
  }

  // Returns and clears the state changes since the last call.
  std::vector<MemberChange> TakeChanges();

  // Increases whenever the table changes, including changes of applied offsets.
  uint64_t version() const { return version_; }

 private:
  struct OutstandingProbe {
    uint64_t target = 0;
    uint32_t sequence = 0;
    // Time at which indirect probes are sent.
    core::TimePoint indirect_at{};
    // Time at which the probe has failed.
    core::TimePoint failed_at{};
    bool is_indirect = false;
  };
  // An indirect probe sent on behalf of the member at `origin`.
  struct Relay {
    core::SocketAddress origin;
    uint32_t origin_sequence = 0;
    core::TimePoint expires_at{};
  };
  struct Suspicion {
    core::TimePoint started_at{};
    core::TimePoint deadline{};
    // Time from which a "gone" update from another member is accepted.
    core::TimePoint Midpoint() const {
      return started_at + (deadline - started_at) / 2;
    }
  };
  // How an update was received. Updates received by gossip are forwarded;
  // updates received by anti-entropy are not.
  enum class UpdateSource : uint8_t { kGossip, kAntiEntropy };

  // Message handlers.
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
  void HandleProbeTimeout(core::TimePoint now);

  // Suspicion.
  void Suspect(uint64_t id_hash, core::TimePoint now);
  void ExpireSuspicions(core::TimePoint now);
  core::Duration SuspicionTime() const;
  // Returns true if this member has received nothing for several probe periods
  // although it knows several peers. The fault is then more likely local.
  bool IsIsolated(core::TimePoint now) const;
  // Restarts the timeouts of all suspicions after a time in which this member
  // could not receive refutations.
  void RestartSuspicions(core::TimePoint now);

  // Updates.
  // Applies the updates and requests missing records from `from`.
  void ApplyUpdates(const Updates& updates,
                    const core::SocketAddress& from,
                    core::TimePoint now);
  MergeResult ApplyRecord(const Member& record,
                          UpdateSource source,
                          core::TimePoint now);
  MergeResult ApplyStatus(MemberStatus status,
                          UpdateSource source,
                          core::TimePoint now);
  // Returns the state to apply for `claim`. A claimed kGone is downgraded to
  // kSuspect until half of this member's own suspicion timeout has passed.
  MemberState EffectiveState(const MemberStatus& claim,
                             core::TimePoint now) const;
  // Updates the gossip queue, the suspicions and the recorded changes after an
  // update was merged.
  void HandleMergeResult(MergeResult result,
                         const MemberChange& change,
                         UpdateSource source,
                         bool with_record,
                         core::TimePoint now);
  // Increases this member's incarnation if `claim` reports a state of higher
  // precedence than its own or a higher incarnation.
  void Refute(const MemberStatus& claim, core::TimePoint now);
  void UpdateSelf(const Member& self, core::TimePoint now);
  void PublishOffset(core::TimePoint now);
  void SendGossip(core::TimePoint now);
  // Returns the updates to piggyback on a message to `to`. If `to` is suspected
  // or gone, its own status comes first so that it can refute it.
  Updates PiggybackFor(const core::SocketAddress& to);

  // Anti-entropy.
  // Also pulls from the sender of `pull` if the digests differ, unless this
  // member has sent a regular or reciprocal pull recently.
  void SendReciprocalPull(const core::SocketAddress& from,
                          const PullMessage& pull,
                          core::TimePoint now);
  void SendPull(const core::SocketAddress& to, std::vector<uint64_t> wanted);
  void PullWhenDue(core::TimePoint now);
  void ContactSeedWhenDue(core::TimePoint now);
  // Returns the addresses of gone members and of seeds that aren't in the
  // table.
  std::vector<core::SocketAddress> AbsentAddresses() const;
  // Returns the records that answer `pull`: the sender's own record if it is
  // suspected or gone, the requested records, and all records in parts whose
  // digests differ.
  std::vector<const Member*> SelectRecords(const core::SocketAddress& from,
                                           const PullMessage& pull);
  void SendRecords(const core::SocketAddress& to,
                   const std::vector<const Member*>& records,
                   size_t max_datagrams,
                   core::TimePoint now);

  // Returns a random present member other than this one, or nullptr if there is
  // none.
  const Member* RandomPeer();

  const GossipOptions options_;
  const uint64_t self_hash_;
  const SendFunction send_;
  core::RandomSource random_;
  MemberDirectory directory_;
  UpdateQueue queue_;
  PeerRotation peer_rotation_;
  PeerRotation gossip_order_;
  std::vector<core::SocketAddress> seeds_;
  absl::flat_hash_set<uint32_t> seed_ips_;
  std::optional<OutstandingProbe> probe_;
  absl::flat_hash_map<uint32_t, Relay> relays_;
  // An ordered map makes simulations reproducible from their seed.
  std::map<uint64_t, Suspicion> suspicions_;
  TokenBucket gossip_bucket_;
  TokenBucket answer_bucket_;
  std::vector<MemberChange> changes_;
  uint64_t version_ = 0;
  // Number of the last probe. The first one is random, so that no ack to a
  // probe of this host's previous process has the number of one that is open.
  uint32_t sequence_;
  // Lifeguard's local health score: 0 is healthy; higher values lengthen the
  // probe period and the probe and suspicion timeouts.
  int health_ = 0;
  // The highest applied offset, which may not have been announced yet.
  int64_t pending_offset_ = -1;
  core::TimePoint next_probe_at_;
  core::TimePoint next_pull_at_;
  core::TimePoint next_reciprocal_pull_at_;
  // Time until which anti-entropy exchanges are frequent. A recently joined
  // member may still be unknown to some members, which drop its datagrams.
  core::TimePoint frequent_pull_until_;
  core::TimePoint next_seed_at_;
  core::TimePoint next_offset_at_;
  core::TimePoint next_gone_sweep_at_;
  core::TimePoint last_tick_;
  core::TimePoint last_received_at_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_PROTOCOL_H_
