#include "LibMembership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::membership {

namespace {

// Members that are asked to probe another member indirectly.
constexpr int kIndirectProbes = 3;
// Members that receive updates in one gossip round.
constexpr int kGossipFanout = 2;
constexpr size_t kMaxGossipBytes = 1200;
constexpr size_t kMaxPiggybackBytes = 500;
// No gossip datagram is sent if the rate limit allows fewer bytes than this.
constexpr double kMinGossipBytes = 150;
constexpr double kGossipBurstBytes = 12000;
constexpr double kAnswerBurstBytes = 16000;
constexpr int kMaxHealth = 3;
// The suspicion timeout is this many probe periods times the decimal logarithm
// of the number of members.
constexpr double kSuspicionPeriods = 3;
// Minimum number of peers required to detect that this member is isolated.
constexpr size_t kMinPeersForIsolation = 4;
// Probe periods without a received datagram after which a member is isolated.
constexpr int kIsolationPeriods = 3;
// A longer gap between ticks means that the process was suspended.
constexpr core::Duration kMaxTickGap = 5 * kGossipTick;
constexpr core::Duration kOffsetPublishPeriod = core::seconds(1);
constexpr core::Duration kGoneSweepPeriod = core::seconds(1);
constexpr core::Duration kRelayLifetime = core::seconds(2);
constexpr size_t kMaxRelays = 256;
// Delay of the next pull after the start or after an exchange that changed the
// table.
constexpr core::Duration kJoinPullPeriod = core::milliseconds(300);
// For kFrequentPullDuration after a member has joined, pulls are sent at this
// period.
constexpr core::Duration kFrequentPullPeriod = core::seconds(1);
constexpr core::Duration kFrequentPullDuration = core::seconds(10);
// Minimum time from a sent pull to the next reciprocal pull.
constexpr core::Duration kReciprocalPullPeriod = core::seconds(1);
// Time between two attempts to contact a seed while no other member is known.
constexpr core::Duration kJoinSeedPeriod = core::milliseconds(500);
// Maximum number of datagrams in the response to a joining member. Other
// members get one.
constexpr size_t kMaxJoinDatagrams = 4;
// Missing records requested in one pull.
constexpr size_t kMaxWanted = 64;
// Bytes reserved for the MessagePack framing around the records of one
// datagram.
constexpr size_t kRecordsOverheadBytes = 16;

}  // namespace

GossipProtocol::GossipProtocol(GossipOptions options,
                               uint64_t random_seed,
                               SendFunction send,
                               core::TimePoint now)
    : options_(std::move(options)),
      self_hash_(options_.self.id.Hash()),
      send_(std::move(send)),
      random_(random_seed),
      gossip_bucket_(options_.gossip_rate, kGossipBurstBytes),
      answer_bucket_(options_.answer_rate, kAnswerBurstBytes),
      sequence_(
          static_cast<uint32_t>(core::CombineHashes(random_seed, self_hash_))),
      pending_offset_(options_.self.applied_offset),
      // A random phase desynchronizes the probes of members that start at the
      // same time.
      next_probe_at_(now +
                     core::FromSeconds(random_.Unit() *
                                       core::ToSeconds(options_.probe_period))),
      next_pull_at_(now + kJoinPullPeriod),
      next_reciprocal_pull_at_(now),
      frequent_pull_until_(now + kFrequentPullDuration),
      next_seed_at_(now),
      next_offset_at_(now),
      next_gone_sweep_at_(now),
      last_tick_(now),
      last_received_at_(now) {
  directory_.Merge(options_.self, now);
  queue_.Add(self_hash_, /*with_record=*/true);
}

void GossipProtocol::Tick(core::TimePoint now) {
  const core::Duration gap = now - std::exchange(last_tick_, now);
  if (gap > kMaxTickGap) {
    probe_.reset();
    last_received_at_ = now;
    RestartSuspicions(now);
  } else if (IsIsolated(now)) {
    RestartSuspicions(now);
  }
  ExpireSuspicions(now);
  AdvanceProbe(now);
  PublishOffset(now);
  SendGossip(now);
  PullWhenDue(now);
  ContactSeedWhenDue(now);
  if (now >= next_gone_sweep_at_) {
    next_gone_sweep_at_ = now + kGoneSweepPeriod;
    directory_.SweepGone(options_.gone_retention, now);
  }
  absl::erase_if(relays_,
                 [now](const auto& it) { return it.second.expires_at < now; });
}

bool GossipProtocol::IsKnown(uint32_t ip) const {
  return directory_.HasIp(ip) || seed_ips_.contains(ip);
}

absl::Status GossipProtocol::OnDatagram(const core::SocketAddress& from,
                                        std::string_view datagram,
                                        core::TimePoint now) {
  if (!IsKnown(from.ip())) {
    return core::MakeStatus(core::ResultCode::kUnknownSender, from.ToString());
  }
  TRY_ASSIGN(const DatagramView view, ParseDatagram(datagram));
  using Handler = absl::Status (GossipProtocol::*)(
      const core::SocketAddress&, std::string_view, core::TimePoint);
  static constexpr std::pair<DatagramKind, Handler> kHandlers[] = {
      {DatagramKind::kProbe, &GossipProtocol::OnProbe},
      {DatagramKind::kAck, &GossipProtocol::OnAck},
      {DatagramKind::kIndirectProbe, &GossipProtocol::OnIndirectProbe},
      {DatagramKind::kGossip, &GossipProtocol::OnGossip},
      {DatagramKind::kPull, &GossipProtocol::OnPull},
      {DatagramKind::kRecords, &GossipProtocol::OnRecords},
  };
  for (const auto& [kind, handler] : kHandlers) {
    if (static_cast<uint8_t>(kind) == view.kind) {
      last_received_at_ = now;
      return (this->*handler)(from, view.body, now);
    }
  }
  return core::MakeStatus(core::ResultCode::kMalformedMessage,
                          fmt::format("unknown datagram kind {}", view.kind));
}

void GossipProtocol::SetSeeds(const std::vector<core::SocketAddress>& seeds) {
  seeds_ = seeds;
  seed_ips_.clear();
  for (const core::SocketAddress& it : seeds) {
    seed_ips_.insert(it.ip());
  }
}

void GossipProtocol::AnnounceLeaving(core::TimePoint now) {
  Member self = this->self();
  self.state = MemberState::kLeaving;
  UpdateSelf(self, now);
}

void GossipProtocol::SetAppliedOffset(int64_t offset, core::TimePoint now) {
  pending_offset_ = std::max(pending_offset_, offset);
  PublishOffset(now);
}

std::vector<MemberChange> GossipProtocol::TakeChanges() {
  return std::exchange(changes_, {});
}

// Message handlers.

absl::Status GossipProtocol::OnProbe(const core::SocketAddress& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const ProbeMessage probe, core::Decode<ProbeMessage>(body));
  ApplyUpdates(probe.updates, from, now);
  // The probe may be addressed to a previous daemon at this address.
  if (probe.target == self_hash_) {
    send_(from, ToDatagram(DatagramKind::kAck,
                           AckMessage{probe.sequence, PiggybackFor(from)}));
  }
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnAck(const core::SocketAddress& from,
                                   std::string_view body,
                                   core::TimePoint now) {
  TRY_ASSIGN(const AckMessage ack, core::Decode<AckMessage>(body));
  ApplyUpdates(ack.updates, from, now);
  if (probe_ && probe_->sequence == ack.sequence) {
    const Member* target = directory_.Find(probe_->target);
    if (target != nullptr && target->state == MemberState::kLeaving) {
      suspicions_.erase(probe_->target);
    }
    probe_.reset();
    health_ = std::max(0, health_ - 1);
    return absl::OkStatus();
  }
  const auto it = relays_.find(ack.sequence);
  if (it != relays_.end()) {
    send_(it->second.origin,
          ToDatagram(DatagramKind::kAck,
                     AckMessage{it->second.origin_sequence, {}}));
    relays_.erase(it);
  }
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnIndirectProbe(const core::SocketAddress& from,
                                             std::string_view body,
                                             core::TimePoint now) {
  TRY_ASSIGN(const IndirectProbeMessage request,
             core::Decode<IndirectProbeMessage>(body));
  const Member* target = directory_.Find(request.target);
  if (target == nullptr || relays_.size() >= kMaxRelays) {
    return absl::OkStatus();
  }
  const uint32_t sequence = ++sequence_;
  relays_[sequence] = {from, request.sequence, now + kRelayLifetime};
  SendProbe(*target, sequence);
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnGossip(const core::SocketAddress& from,
                                      std::string_view body,
                                      core::TimePoint now) {
  TRY_ASSIGN(const GossipMessage message, core::Decode<GossipMessage>(body));
  ApplyUpdates(message.updates, from, now);
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnPull(const core::SocketAddress& from,
                                    std::string_view body,
                                    core::TimePoint now) {
  TRY_ASSIGN(const PullMessage pull, core::Decode<PullMessage>(body));
  if (pull.digests.size() != kDigestParts) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "pull with a wrong number of digests");
  }
  ApplyUpdates(pull.updates, from, now);
  SendReciprocalPull(from, pull, now);
  const bool is_joining = size_t{pull.known} * 2 < directory_.present().size();
  SendRecords(from, SelectRecords(from, pull),
              is_joining ? kMaxJoinDatagrams : 1, now);
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnRecords(const core::SocketAddress&,
                                       std::string_view body,
                                       core::TimePoint now) {
  TRY_ASSIGN(const RecordsMessage message, core::Decode<RecordsMessage>(body));
  bool has_changes = false;
  for (const Member& record : message.records) {
    const bool is_new = directory_.Find(record.id.Hash()) == nullptr;
    has_changes = ApplyRecord(record, UpdateSource::kAntiEntropy, now) ==
                      MergeResult::kChanged ||
                  has_changes || is_new;
  }
  if (has_changes) {
    next_pull_at_ = std::min(next_pull_at_, now + kJoinPullPeriod);
  }
  return absl::OkStatus();
}

// Probing.

void GossipProtocol::AdvanceProbe(core::TimePoint now) {
  if (probe_ && now >= probe_->failed_at) {
    HandleProbeTimeout(now);
  } else if (probe_ && !probe_->is_indirect && now >= probe_->indirect_at) {
    SendIndirectProbes();
  }
  if (!probe_ && now >= next_probe_at_) {
    StartProbe(now);
  }
}

void GossipProtocol::StartProbe(core::TimePoint now) {
  const int timeout_factor = 1 + health_;
  next_probe_at_ = now + options_.probe_period * timeout_factor;
  const std::optional<uint64_t> target = NextProbeTarget();
  if (!target) {
    return;
  }
  probe_ = {*target, ++sequence_, now + options_.probe_timeout * timeout_factor,
            next_probe_at_, /*is_indirect=*/false};
  SendProbe(*directory_.Find(*target), probe_->sequence);
}

std::optional<uint64_t> GossipProtocol::NextProbeTarget() {
  // A leaving member can't refute a suspicion by gossip. It is probed again
  // until a probe succeeds or the suspicion times out.
  for (const auto& [id_hash, suspicion] : suspicions_) {
    const Member* member = directory_.Find(id_hash);
    if (member != nullptr && member->state == MemberState::kLeaving) {
      return id_hash;
    }
  }
  return peer_rotation_.Next(directory_.present(), self_hash_, &random_);
}

void GossipProtocol::SendProbe(const Member& target, uint32_t sequence) {
  const core::SocketAddress to = target.gossip_address;
  send_(to,
        ToDatagram(DatagramKind::kProbe,
                   ProbeMessage{sequence, target.id.Hash(), PiggybackFor(to)}));
}

void GossipProtocol::SendIndirectProbes() {
  probe_->is_indirect = true;
  absl::flat_hash_set<uint64_t> asked = {probe_->target};
  const std::string datagram =
      ToDatagram(DatagramKind::kIndirectProbe,
                 IndirectProbeMessage{probe_->sequence, probe_->target});
  for (int i = 0; i < kIndirectProbes; ++i) {
    const Member* peer = RandomPeer();
    if (peer != nullptr && asked.insert(peer->id.Hash()).second) {
      send_(peer->gossip_address, datagram);
    }
  }
}

void GossipProtocol::HandleProbeTimeout(core::TimePoint now) {
  const uint64_t target = probe_->target;
  probe_.reset();
  // If no datagram was received recently, the fault is probably local.
  if (now - last_received_at_ > options_.probe_period) {
    health_ = std::min(kMaxHealth, health_ + 1);
  }
  Suspect(target, now);
}

// Suspicion.

void GossipProtocol::Suspect(uint64_t id_hash, core::TimePoint now) {
  const Member* member = directory_.Find(id_hash);
  if (member == nullptr || member->state == MemberState::kGone) {
    return;
  }
  if (member->state == MemberState::kLeaving) {
    // The suspicion stays local: other members continue to treat the member as
    // leaving.
    suspicions_.try_emplace(id_hash, Suspicion{now, now + SuspicionTime()});
    return;
  }
  MemberStatus claim = StatusOf(*member);
  claim.state = MemberState::kSuspect;
  ApplyStatus(claim, UpdateSource::kGossip, now);
}

void GossipProtocol::ExpireSuspicions(core::TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [id_hash, suspicion] : suspicions_) {
    if (now >= suspicion.deadline) {
      expired.push_back(id_hash);
    }
  }
  for (const uint64_t id_hash : expired) {
    const Member* member = directory_.Find(id_hash);
    if (member == nullptr) {
      suspicions_.erase(id_hash);
      continue;
    }
    const MemberChange change = {member->id, member->state, MemberState::kGone};
    MemberStatus claim = StatusOf(*member);
    claim.state = MemberState::kGone;
    HandleMergeResult(directory_.Merge(claim, now), change,
                      UpdateSource::kGossip,
                      /*with_record=*/false, now);
  }
}

core::Duration GossipProtocol::SuspicionTime() const {
  const auto members = static_cast<double>(directory_.present().size());
  const double scale = std::max(1.0, std::log10(members));
  return core::FromSeconds(core::ToSeconds(options_.probe_period) *
                           kSuspicionPeriods * scale * (1 + health_));
}

bool GossipProtocol::IsIsolated(core::TimePoint now) const {
  return directory_.present().size() > kMinPeersForIsolation &&
         now - last_received_at_ > kIsolationPeriods * options_.probe_period;
}

void GossipProtocol::RestartSuspicions(core::TimePoint now) {
  for (auto& [id_hash, suspicion] : suspicions_) {
    suspicion = {now, now + SuspicionTime()};
  }
}

// Updates.

void GossipProtocol::ApplyUpdates(const Updates& updates,
                                  const core::SocketAddress& from,
                                  core::TimePoint now) {
  for (const Member& record : updates.records) {
    ApplyRecord(record, UpdateSource::kGossip, now);
  }
  std::vector<uint64_t> missing;
  for (const MemberStatus& status : updates.statuses) {
    if (ApplyStatus(status, UpdateSource::kGossip, now) ==
            MergeResult::kRecordMissing &&
        missing.size() < kMaxWanted) {
      missing.push_back(status.id_hash);
    }
  }
  if (!missing.empty() && answer_bucket_.TryTake(kMinGossipBytes, now)) {
    SendPull(from, std::move(missing));
  }
}

MergeResult GossipProtocol::ApplyRecord(const Member& record,
                                        UpdateSource source,
                                        core::TimePoint now) {
  const uint64_t id_hash = record.id.Hash();
  const Member* known = directory_.Find(id_hash);
  const bool is_same_generation =
      known != nullptr &&
      GenerationOf(record.incarnation) <= GenerationOf(known->incarnation);
  if (is_same_generation || id_hash == self_hash_) {
    return ApplyStatus(StatusOf(record), source, now);
  }
  const MemberState before =
      known == nullptr ? MemberState::kGone : known->state;
  const MergeResult result = directory_.Merge(record, now);
  if (before == MemberState::kGone) {
    peer_rotation_.Insert(id_hash, &random_);
    gossip_order_.Insert(id_hash, &random_);
  }
  HandleMergeResult(result, {record.id, before, record.state}, source,
                    /*with_record=*/true, now);
  return result;
}

MergeResult GossipProtocol::ApplyStatus(MemberStatus status,
                                        UpdateSource source,
                                        core::TimePoint now) {
  if (status.id_hash == self_hash_) {
    Refute(status, now);
    return MergeResult::kStale;
  }
  const Member* member = directory_.Find(status.id_hash);
  const core::HostId id = member == nullptr ? core::HostId() : member->id;
  const MemberState before =
      member == nullptr ? MemberState::kGone : member->state;
  status.state = EffectiveState(status, now);
  const MergeResult result = directory_.Merge(status, now);
  member = directory_.Find(status.id_hash);
  HandleMergeResult(result,
                    {id, before, member == nullptr ? before : member->state},
                    source, /*with_record=*/false, now);
  return result;
}

MemberState GossipProtocol::EffectiveState(const MemberStatus& claim,
                                           core::TimePoint now) const {
  const Member* member = directory_.Find(claim.id_hash);
  if (claim.state != MemberState::kGone || member == nullptr ||
      member->state == MemberState::kGone ||
      member->state == MemberState::kLeaving) {
    return claim.state;
  }
  const auto it = suspicions_.find(claim.id_hash);
  const bool is_confirmed =
      it != suspicions_.end() && now > it->second.Midpoint();
  return is_confirmed ? MemberState::kGone : MemberState::kSuspect;
}

void GossipProtocol::HandleMergeResult(MergeResult result,
                                       const MemberChange& change,
                                       UpdateSource source,
                                       bool with_record,
                                       core::TimePoint now) {
  if (result == MergeResult::kStale || result == MergeResult::kRecordMissing) {
    return;
  }
  ++version_;
  const uint64_t id_hash = change.id.Hash();
  if (source == UpdateSource::kGossip) {
    queue_.Add(id_hash, with_record);
  }
  if (result == MergeResult::kRefreshed) {
    if (change.after == MemberState::kLeaving) {
      suspicions_.erase(id_hash);
    }
    return;
  }
  if (change.before == MemberState::kGone) {
    frequent_pull_until_ = now + kFrequentPullDuration;
  }
  if (change.before != change.after) {
    changes_.push_back(change);
  }
  if (change.after == MemberState::kSuspect) {
    suspicions_.try_emplace(id_hash, Suspicion{now, now + SuspicionTime()});
  } else {
    suspicions_.erase(id_hash);
  }
}

void GossipProtocol::Refute(const MemberStatus& claim, core::TimePoint now) {
  Member self = this->self();
  const bool is_older = claim.incarnation < self.incarnation;
  const bool is_consistent =
      claim.incarnation == self.incarnation && claim.state <= self.state;
  if (is_older || is_consistent) {
    return;
  }
  const uint64_t generation = GenerationOf(claim.incarnation);
  const bool is_newer_generation = generation > GenerationOf(self.incarnation);
  // A higher generation comes from a previous process with the same id.
  self.incarnation = is_newer_generation ? FirstIncarnation(generation + 1)
                                         : claim.incarnation + 1;
  health_ = std::min(kMaxHealth, health_ + 1);
  UpdateSelf(self, now);
}

void GossipProtocol::UpdateSelf(const Member& self, core::TimePoint now) {
  const bool is_restart =
      GenerationOf(self.incarnation) != GenerationOf(this->self().incarnation);
  if (directory_.Merge(self, now) != MergeResult::kStale) {
    ++version_;
    queue_.Add(self_hash_, /*with_record=*/is_restart);
  }
}

void GossipProtocol::PublishOffset(core::TimePoint now) {
  Member self = this->self();
  if (pending_offset_ <= self.applied_offset || now < next_offset_at_) {
    return;
  }
  next_offset_at_ = now + kOffsetPublishPeriod;
  self.applied_offset = pending_offset_;
  UpdateSelf(self, now);
}

void GossipProtocol::SendGossip(core::TimePoint now) {
  for (int i = 0; i < kGossipFanout && !queue_.empty(); ++i) {
    const double available =
        gossip_bucket_.Available(now) - kDatagramHeaderBytes;
    if (available < kMinGossipBytes) {
      return;
    }
    const std::optional<uint64_t> peer =
        gossip_order_.Next(directory_.present(), self_hash_, &random_);
    if (!peer) {
      return;
    }
    GossipMessage message;
    queue_.Fill(directory_,
                std::min(kMaxGossipBytes, static_cast<size_t>(available)),
                &message.updates);
    const std::string datagram = ToDatagram(DatagramKind::kGossip, message);
    gossip_bucket_.TryTake(
        static_cast<double>(datagram.size() + kDatagramHeaderBytes), now);
    send_(directory_.Find(*peer)->gossip_address, datagram);
  }
}

Updates GossipProtocol::PiggybackFor(const core::SocketAddress& to) {
  Updates updates;
  const Member* receiver = directory_.FindByAddress(to);
  if (receiver != nullptr && (receiver->state == MemberState::kSuspect ||
                              receiver->state == MemberState::kGone)) {
    updates.statuses.push_back(StatusOf(*receiver));
  }
  queue_.Fill(directory_, kMaxPiggybackBytes, &updates);
  return updates;
}

// Anti-entropy.

void GossipProtocol::SendReciprocalPull(const core::SocketAddress& from,
                                        const PullMessage& pull,
                                        core::TimePoint now) {
  if (now >= next_reciprocal_pull_at_ && pull.digests != directory_.Digests()) {
    SendPull(from, {});
    next_reciprocal_pull_at_ = now + kReciprocalPullPeriod;
  }
}

void GossipProtocol::SendPull(const core::SocketAddress& to,
                              std::vector<uint64_t> wanted) {
  PullMessage pull;
  pull.known = static_cast<uint32_t>(directory_.present().size());
  pull.digests = directory_.Digests();
  pull.wanted = std::move(wanted);
  const Member* receiver = directory_.FindByAddress(to);
  if (receiver == nullptr || receiver->state == MemberState::kGone) {
    pull.updates.records.push_back(self());
  }
  send_(to, ToDatagram(DatagramKind::kPull, pull));
}

void GossipProtocol::PullWhenDue(core::TimePoint now) {
  if (now < next_pull_at_) {
    return;
  }
  next_pull_at_ = now + (now < frequent_pull_until_ ? kFrequentPullPeriod
                                                    : options_.pull_period);
  next_reciprocal_pull_at_ = now + kReciprocalPullPeriod;
  if (const Member* peer = RandomPeer()) {
    SendPull(peer->gossip_address, {});
  }
}

void GossipProtocol::ContactSeedWhenDue(core::TimePoint now) {
  if (now < next_seed_at_) {
    return;
  }
  const bool is_alone = directory_.present().size() <= 1;
  next_seed_at_ = now + (is_alone ? kJoinSeedPeriod : options_.seed_period);
  const std::vector<core::SocketAddress> absent = AbsentAddresses();
  if (!absent.empty()) {
    SendPull(absent[random_.Below(absent.size())], {});
  }
}

std::vector<core::SocketAddress> GossipProtocol::AbsentAddresses() const {
  std::vector<core::SocketAddress> absent;
  for (const uint64_t id_hash : directory_.GoneMembers()) {
    absent.push_back(directory_.Find(id_hash)->gossip_address);
  }
  for (const core::SocketAddress& it : seeds_) {
    const bool is_self = it == options_.self.gossip_address;
    if (!is_self && directory_.FindByAddress(it) == nullptr) {
      absent.push_back(it);
    }
  }
  return absent;
}

std::vector<const Member*> GossipProtocol::SelectRecords(
    const core::SocketAddress& from,
    const PullMessage& pull) {
  std::vector<const Member*> selected;
  const Member* sender = directory_.FindByAddress(from);
  if (sender != nullptr && (sender->state == MemberState::kSuspect ||
                            sender->state == MemberState::kGone)) {
    selected.push_back(sender);
  }
  for (const uint64_t id_hash : pull.wanted) {
    if (const Member* member = directory_.Find(id_hash)) {
      selected.push_back(member);
    }
  }
  const std::vector<uint32_t>& digests = directory_.Digests();
  // A response may not have room for all differing parts. A random start
  // ensures that repeated pulls cover all of them.
  const size_t start = random_.Below(kDigestParts);
  for (size_t i = 0; i < kDigestParts; ++i) {
    const size_t part = (start + i) % kDigestParts;
    if (digests[part] != pull.digests[part]) {
      const auto records = directory_.RecordsIn(part);
      selected.insert(selected.end(), records.begin(), records.end());
    }
  }
  return selected;
}

void GossipProtocol::SendRecords(const core::SocketAddress& to,
                                 const std::vector<const Member*>& records,
                                 size_t max_datagrams,
                                 core::TimePoint now) {
  constexpr size_t kBudget =
      kMaxDatagramBytes - kDatagramPrefixBytes - kRecordsOverheadBytes;
  size_t next = 0;
  for (size_t i = 0; i < max_datagrams && next < records.size(); ++i) {
    RecordsMessage message;
    for (size_t used = 0; next < records.size(); ++next) {
      used += core::Encode(*records[next]).size();
      if (used > kBudget) {
        break;
      }
      message.records.push_back(*records[next]);
    }
    const std::string datagram = ToDatagram(DatagramKind::kRecords, message);
    if (message.records.empty() ||
        !answer_bucket_.TryTake(
            static_cast<double>(datagram.size() + kDatagramHeaderBytes), now)) {
      return;
    }
    send_(to, datagram);
  }
}

const Member* GossipProtocol::RandomPeer() {
  const std::vector<uint64_t>& present = directory_.present();
  if (present.size() <= 1) {
    return nullptr;
  }
  while (true) {
    const uint64_t id_hash = present[random_.Below(present.size())];
    if (id_hash != self_hash_) {
      return directory_.Find(id_hash);
    }
  }
}

}  // namespace wasabi::membership
