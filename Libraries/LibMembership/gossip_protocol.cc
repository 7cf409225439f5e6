#include "LibMembership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::membership {

namespace {

// Members that are asked to probe for another.
constexpr int kIndirectProbes = 3;
// Members that get the news in one gossip round.
constexpr int kGossipFanout = 2;
constexpr size_t kGossipBytes = 1200;
constexpr size_t kPiggybackBytes = 500;
// Smaller rests of the rate limit aren't worth a datagram.
constexpr double kMinGossipBytes = 150;
constexpr double kGossipBurstBytes = 12000;
constexpr double kAnswerBurstBytes = 16000;
constexpr int kMaxHealth = 3;
// Suspicion time in probe periods, times the decimal logarithm of the members.
constexpr double kSuspicionPeriods = 3;
// Fewer peers than this can't tell whether this member is isolated.
constexpr size_t kMinPeersForIsolation = 4;
constexpr int kIsolationPeriods = 3;
// A longer pause between ticks means that the process stood still.
constexpr core::Duration kMaxTickGap = 5 * kGossipTick;
constexpr core::Duration kOffsetPeriod = core::seconds(1);
constexpr core::Duration kForgetPeriod = core::seconds(1);
constexpr core::Duration kRelayLifetime = core::seconds(2);
constexpr size_t kMaxRelays = 256;
// Time to the next comparison after one that brought new members.
constexpr core::Duration kJoinPullPeriod = core::milliseconds(300);
// Comparisons for a while after a member joined.
constexpr core::Duration kUnsettledPullPeriod = core::seconds(1);
constexpr core::Duration kSettleTime = core::seconds(10);
constexpr core::Duration kPullBackPeriod = core::seconds(1);
constexpr core::Duration kJoinSeedPeriod = core::milliseconds(500);
constexpr size_t kJoinDatagrams = 4;
constexpr size_t kMaxWanted = 64;
// MessagePack's frame around the records of one datagram.
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
      wanted_offset_(options_.self.applied_offset),
      // A random phase, so that members that start together don't probe at the
      // same moment.
      next_probe_at_(now +
                     core::FromSeconds(random_.Unit() *
                                       core::ToSeconds(options_.probe_period))),
      next_pull_at_(now + kJoinPullPeriod),
      next_pull_back_at_(now),
      unsettled_until_(now + kSettleTime),
      next_seed_at_(now),
      next_offset_at_(now),
      next_forget_at_(now),
      last_tick_(now),
      last_heard_(now) {
  directory_.Merge(options_.self, now);
  queue_.Add(self_hash_, /*with_record=*/true);
}

void GossipProtocol::Tick(core::TimePoint now) {
  const core::Duration gap = now - std::exchange(last_tick_, now);
  if (gap > kMaxTickGap) {
    probe_.reset();
    last_heard_ = now;
    RestartSuspicions(now);
  } else if (IsIsolated(now)) {
    RestartSuspicions(now);
  }
  ExpireSuspicions(now);
  AdvanceProbe(now);
  PublishOffset(now);
  SpreadNews(now);
  PullWhenDue(now);
  ContactSeedWhenDue(now);
  if (now >= next_forget_at_) {
    next_forget_at_ = now + kForgetPeriod;
    directory_.ForgetGone(options_.gone_memory, now);
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
      last_heard_ = now;
      return (this->*handler)(from, view.body, now);
    }
  }
  return core::MakeStatus(core::ResultCode::kMalformedMessage,
                          fmt::format("datagram kind {}", view.kind));
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
  wanted_offset_ = std::max(wanted_offset_, offset);
  PublishOffset(now);
}

std::vector<MemberChange> GossipProtocol::TakeChanges() {
  return std::exchange(changes_, {});
}

// Messages.

absl::Status GossipProtocol::OnProbe(const core::SocketAddress& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const ProbeMessage probe, core::Decode<ProbeMessage>(body));
  Learn(probe.updates, from, now);
  // The sender may mean an earlier daemon at this address.
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
  Learn(ack.updates, from, now);
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
  Learn(message.updates, from, now);
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnPull(const core::SocketAddress& from,
                                    std::string_view body,
                                    core::TimePoint now) {
  TRY_ASSIGN(const PullMessage pull, core::Decode<PullMessage>(body));
  if (pull.digests.size() != kDigestParts) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "a pull without digests");
  }
  Learn(pull.updates, from, now);
  PullBack(from, pull, now);
  const bool is_joining = size_t{pull.known} * 2 < directory_.present().size();
  SendRecords(from, SelectRecords(from, pull), is_joining ? kJoinDatagrams : 1,
              now);
  return absl::OkStatus();
}

absl::Status GossipProtocol::OnRecords(const core::SocketAddress&,
                                       std::string_view body,
                                       core::TimePoint now) {
  TRY_ASSIGN(const RecordsMessage message, core::Decode<RecordsMessage>(body));
  bool is_news = false;
  for (const Member& record : message.records) {
    const bool is_new = directory_.Find(record.id.Hash()) == nullptr;
    is_news = LearnRecord(record, Channel::kComparison, now) ==
                  MergeResult::kChanged ||
              is_news || is_new;
  }
  if (is_news) {
    next_pull_at_ = std::min(next_pull_at_, now + kJoinPullPeriod);
  }
  return absl::OkStatus();
}

// Probing.

void GossipProtocol::AdvanceProbe(core::TimePoint now) {
  if (probe_ && now >= probe_->failed_at) {
    FailProbe(now);
  } else if (probe_ && !probe_->is_indirect && now >= probe_->indirect_at) {
    SendIndirectProbes();
  }
  if (!probe_ && now >= next_probe_at_) {
    StartProbe(now);
  }
}

void GossipProtocol::StartProbe(core::TimePoint now) {
  const int stretch = 1 + health_;
  next_probe_at_ = now + options_.probe_period * stretch;
  const std::optional<uint64_t> target = NextProbeTarget();
  if (!target) {
    return;
  }
  probe_ = {*target, ++sequence_, now + options_.probe_timeout * stretch,
            next_probe_at_, /*is_indirect=*/false};
  SendProbe(*directory_.Find(*target), probe_->sequence);
}

std::optional<uint64_t> GossipProtocol::NextProbeTarget() {
  // Members that leave can't refute a suspicion by gossip, so they are probed
  // again until one probe succeeds or the suspicion ends.
  for (const auto& [id_hash, suspicion] : suspicions_) {
    const Member* member = directory_.Find(id_hash);
    if (member != nullptr && member->state == MemberState::kLeaving) {
      return id_hash;
    }
  }
  return probe_order_.Next(directory_.present(), self_hash_, &random_);
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

void GossipProtocol::FailProbe(core::TimePoint now) {
  const uint64_t target = probe_->target;
  probe_.reset();
  // A member that hears nobody looks for the fault at home.
  if (now - last_heard_ > options_.probe_period) {
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
    // Others go on to treat it as leaving, so the suspicion isn't spread.
    suspicions_.try_emplace(id_hash, Suspicion{now, now + SuspicionTime()});
    return;
  }
  MemberStatus claim = StatusOf(*member);
  claim.state = MemberState::kSuspect;
  LearnStatus(claim, Channel::kGossip, now);
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
    AfterMerge(directory_.Merge(claim, now), change, Channel::kGossip,
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
         now - last_heard_ > kIsolationPeriods * options_.probe_period;
}

void GossipProtocol::RestartSuspicions(core::TimePoint now) {
  for (auto& [id_hash, suspicion] : suspicions_) {
    suspicion = {now, now + SuspicionTime()};
  }
}

// News.

void GossipProtocol::Learn(const Updates& updates,
                           const core::SocketAddress& from,
                           core::TimePoint now) {
  for (const Member& record : updates.records) {
    LearnRecord(record, Channel::kGossip, now);
  }
  std::vector<uint64_t> missing;
  for (const MemberStatus& status : updates.statuses) {
    if (LearnStatus(status, Channel::kGossip, now) ==
            MergeResult::kRecordMissing &&
        missing.size() < kMaxWanted) {
      missing.push_back(status.id_hash);
    }
  }
  if (!missing.empty() && answer_bucket_.TryTake(kMinGossipBytes, now)) {
    SendPull(from, std::move(missing));
  }
}

MergeResult GossipProtocol::LearnRecord(const Member& record,
                                        Channel channel,
                                        core::TimePoint now) {
  const uint64_t id_hash = record.id.Hash();
  const Member* known = directory_.Find(id_hash);
  const bool is_same_generation =
      known != nullptr &&
      GenerationOf(record.incarnation) <= GenerationOf(known->incarnation);
  if (is_same_generation || id_hash == self_hash_) {
    return LearnStatus(StatusOf(record), channel, now);
  }
  const MemberState before =
      known == nullptr ? MemberState::kGone : known->state;
  const MergeResult result = directory_.Merge(record, now);
  if (before == MemberState::kGone) {
    probe_order_.Insert(id_hash, &random_);
    gossip_order_.Insert(id_hash, &random_);
  }
  AfterMerge(result, {record.id, before, record.state}, channel,
             /*with_record=*/true, now);
  return result;
}

MergeResult GossipProtocol::LearnStatus(MemberStatus status,
                                        Channel channel,
                                        core::TimePoint now) {
  if (status.id_hash == self_hash_) {
    Refute(status, now);
    return MergeResult::kStale;
  }
  const Member* member = directory_.Find(status.id_hash);
  const core::HostId id = member == nullptr ? core::HostId() : member->id;
  const MemberState before =
      member == nullptr ? MemberState::kGone : member->state;
  status.state = BelievedState(status, now);
  const MergeResult result = directory_.Merge(status, now);
  member = directory_.Find(status.id_hash);
  AfterMerge(result, {id, before, member == nullptr ? before : member->state},
             channel, /*with_record=*/false, now);
  return result;
}

MemberState GossipProtocol::BelievedState(const MemberStatus& claim,
                                          core::TimePoint now) const {
  const Member* member = directory_.Find(claim.id_hash);
  if (claim.state != MemberState::kGone || member == nullptr ||
      member->state == MemberState::kGone ||
      member->state == MemberState::kLeaving) {
    return claim.state;
  }
  const auto it = suspicions_.find(claim.id_hash);
  const bool is_confirmed =
      it != suspicions_.end() && now > it->second.HalfTime();
  return is_confirmed ? MemberState::kGone : MemberState::kSuspect;
}

void GossipProtocol::AfterMerge(MergeResult result,
                                const MemberChange& change,
                                Channel channel,
                                bool with_record,
                                core::TimePoint now) {
  if (result == MergeResult::kStale || result == MergeResult::kRecordMissing) {
    return;
  }
  ++version_;
  const uint64_t id_hash = change.id.Hash();
  if (channel == Channel::kGossip) {
    queue_.Add(id_hash, with_record);
  }
  if (result == MergeResult::kRefreshed) {
    if (change.after == MemberState::kLeaving) {
      suspicions_.erase(id_hash);
    }
    return;
  }
  if (change.before == MemberState::kGone) {
    unsettled_until_ = now + kSettleTime;
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
  const bool is_own_news =
      claim.incarnation == self.incarnation && claim.state <= self.state;
  if (is_older || is_own_news) {
    return;
  }
  const uint64_t generation = GenerationOf(claim.incarnation);
  const bool is_foreign_generation =
      generation > GenerationOf(self.incarnation);
  // A higher generation belongs to an earlier process of this name.
  self.incarnation = is_foreign_generation ? FirstIncarnation(generation + 1)
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
  if (wanted_offset_ <= self.applied_offset || now < next_offset_at_) {
    return;
  }
  next_offset_at_ = now + kOffsetPeriod;
  self.applied_offset = wanted_offset_;
  UpdateSelf(self, now);
}

void GossipProtocol::SpreadNews(core::TimePoint now) {
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
                std::min(kGossipBytes, static_cast<size_t>(available)),
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
  queue_.Fill(directory_, kPiggybackBytes, &updates);
  return updates;
}

// Comparison.

void GossipProtocol::PullBack(const core::SocketAddress& from,
                              const PullMessage& pull,
                              core::TimePoint now) {
  if (now >= next_pull_back_at_ && pull.digests != directory_.Digests()) {
    SendPull(from, {});
    next_pull_back_at_ = now + kPullBackPeriod;
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
  next_pull_at_ = now + (now < unsettled_until_ ? kUnsettledPullPeriod
                                                : options_.pull_period);
  next_pull_back_at_ = now + kPullBackPeriod;
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
  for (const uint64_t id_hash : directory_.Gone()) {
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
  // A random start, since one answer may not hold all parts that differ.
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
