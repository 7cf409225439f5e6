#include "LibForwarding/stored_origins.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/rendezvous.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibForwarding/origin_recorder.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

constexpr size_t kReaders = 3;
constexpr uint64_t kReaderKey = 0x6f726967696e7332;
// With the 0.2 s in which other hosts are asked before, a lookup takes at most
// half a second.
constexpr core::Duration kMaxSearchTime = core::milliseconds(280);
// A reader that has to read first answers within some tens of milliseconds.
// After this time the next host is asked.
constexpr core::Duration kStepTime = core::milliseconds(60);
constexpr size_t kMaxAsked = 3;
// Hosts of a fleet that read for want of answers, on average.
constexpr double kLoneReaders = 4;
// What was read stays in use for so long in searches. Streams that begin later
// are known to the running hosts.
constexpr core::Duration kMaxReadAge = core::seconds(5);
// Memory of the streams is freed when their callers have given up.
constexpr core::Duration kMaxStreamsAge = core::seconds(60);
constexpr core::Duration kRetryReadAfter = core::milliseconds(200);
// A read that has not ended by then failed without a result.
constexpr core::Duration kMaxReadTime = core::seconds(3);
constexpr core::Duration kMinHistoryInterval = core::milliseconds(600);
constexpr core::Duration kMaxHistoryInterval = core::seconds(8);
// Pools of one answer, so that it fits in a datagram.
constexpr size_t kMaxPoolsPerAnswer = 24;
constexpr size_t kMaxOriginsPerPool = 4;
constexpr size_t kMaxPendingQueries = 4096;
// An answer takes longer only if a process stands still.
constexpr core::Duration kMaxTransitTime = core::milliseconds(200);

// Returns the key of searches that ask for the history of `pools` alone.
uint64_t KeyOfPools(const std::vector<WeightedPool>& pools) {
  uint64_t key = kReaderKey;
  for (const WeightedPool& it : pools) {
    key = core::CombineHashes(key, it.pool.Hash());
  }
  return key;
}

// Returns `hosts` in the order of readers.
std::vector<core::HostId> InReaderOrder(const std::set<core::HostId>& hosts) {
  const std::vector<core::HostId> all(hosts.begin(), hosts.end());
  std::vector<core::RendezvousCandidate> candidates;
  candidates.reserve(all.size());
  for (const core::HostId& it : all) {
    candidates.push_back({.hash = it.Hash(), .weight = 1.0});
  }
  std::vector<core::HostId> ordered;
  ordered.reserve(all.size());
  for (const size_t i : core::RendezvousOrder(kReaderKey, candidates)) {
    ordered.push_back(all[i]);
  }
  return ordered;
}

}  // namespace

StoredOrigins::StoredOrigins(core::HostId self,
                             OriginHistory* history,
                             uint64_t random_seed,
                             SendFunction send,
                             ReadFunction read)
    : self_(std::move(self)),
      history_(history),
      random_(random_seed),
      send_(std::move(send)),
      read_(std::move(read)),
      history_query_interval_(kMinHistoryInterval) {}

void StoredOrigins::SetHosts(const std::vector<core::HostId>& running,
                             const std::vector<core::HostId>& registered) {
  const std::set<core::HostId> up(running.begin(), running.end());
  std::set<core::HostId> all(registered.begin(), registered.end());
  all.insert(up.begin(), up.end());
  all.insert(self_);
  hosts_ = all.size();
  const bool knows_most = 2 * up.size() >= hosts_;
  earlier_hosts_.clear();
  size_t rank = 0;
  for (const core::HostId& it : InReaderOrder(all)) {
    if (it == self_) {
      break;
    }
    if (up.contains(it) && earlier_hosts_.size() < kMaxAsked) {
      earlier_hosts_.push_back(it);
    }
    ++rank;
  }
  // Hosts stay registered after they are gone, so that the first running hosts
  // read as well. A host that has just started knows few of them.
  is_reader_ =
      rank < kReaders || (knows_most && earlier_hosts_.size() < kReaders);
}

bool StoredOrigins::IsFresh(core::Duration max_age, core::TimePoint now) const {
  return read_at_ && now - *read_at_ < max_age;
}

std::optional<StreamOrigin> StoredOrigins::Lookup(uint64_t stream) const {
  const auto it = streams_.find(stream);
  return it == streams_.end() ? std::nullopt
                              : std::optional(StreamOrigin{it->second});
}

void StoredOrigins::Find(std::optional<StreamKey> stream,
                         const std::vector<WeightedPool>& pools,
                         core::TimePoint now,
                         Callback callback) {
  std::vector<uint64_t> hashes;
  for (const WeightedPool& it : pools) {
    hashes.push_back(it.pool.Hash());
  }
  StartSearch(
      stream ? stream->hash : KeyOfPools(pools), std::move(hashes), now,
      [callback = std::move(callback)](std::optional<StreamOrigin> origin,
                                       bool /*is_read*/) { callback(origin); });
}

void StoredOrigins::StartSearch(uint64_t key,
                                std::vector<uint64_t> pools,
                                core::TimePoint now,
                                ResultCallback callback) {
  const auto known = Lookup(key);
  if (known || IsFresh(kMaxReadAge, now)) {
    callback(known, true);
    return;
  }
  const auto [it, is_new] = searches_.try_emplace(key);
  it->second.callbacks.push_back(std::move(callback));
  if (!is_new) {
    return;
  }
  it->second.pools = std::move(pools);
  it->second.started_at = now;
  if (is_reader_) {
    it->second.is_read_decided = true;
    StartRead(now);
  } else {
    TakeStep(key, it->second, now);
  }
}

void StoredOrigins::TakeStep(uint64_t key,
                             Search& search,
                             core::TimePoint now) {
  if (search.is_read_decided || now < search.next_step_at) {
    return;
  }
  search.next_step_at = now + kStepTime;
  if (search.asked < earlier_hosts_.size()) {
    send_(
        {earlier_hosts_[search.asked]}, ApplicationKind::kStoredOriginQuery,
        core::Encode(StoredOriginQuery{.stream = key, .pools = search.pools}));
    ++search.asked;
    return;
  }
  const bool has_waited = now - search.started_at >= 2 * kStepTime;
  if (!has_waited) {
    return;
  }
  search.is_read_decided = true;
  if (random_.Unit() * static_cast<double>(hosts_) < kLoneReaders) {
    StartRead(now);
  }
}

void StoredOrigins::Tick(core::TimePoint now) {
  if (read_started_at_ && now - *read_started_at_ > kMaxReadTime) {
    read_started_at_.reset();
  }
  if (!IsFresh(kMaxStreamsAge, now)) {
    streams_.clear();
  }
  std::vector<uint64_t> overdue;
  for (auto& [stream, search] : searches_) {
    if (now - search.started_at >= kMaxSearchTime) {
      overdue.push_back(stream);
    } else {
      TakeStep(stream, search, now);
    }
  }
  for (const uint64_t it : overdue) {
    Finish(it, std::nullopt, false);
  }
  AskForHistory(now);
}

void StoredOrigins::AskForHistory(core::TimePoint now) {
  if (next_history_query_at_ == core::TimePoint()) {
    next_history_query_at_ =
        now + core::FromSeconds(core::ToSeconds(kMinHistoryInterval) *
                                random_.Unit());
  }
  if (now < next_history_query_at_ || history_->IsComplete(now)) {
    return;
  }
  next_history_query_at_ = now + history_query_interval_;
  history_query_interval_ = std::min<core::Duration>(
      2 * history_query_interval_, kMaxHistoryInterval);
  if (is_reader_) {
    StartRead(now);
  } else if (!earlier_hosts_.empty()) {
    send_({earlier_hosts_[random_.Below(earlier_hosts_.size())]},
          ApplicationKind::kStoredOriginQuery,
          core::Encode(StoredOriginQuery()));
  }
}

void StoredOrigins::StartRead(core::TimePoint now) {
  if (read_started_at_ || now < next_read_at_) {
    return;
  }
  read_started_at_ = now;
  next_read_at_ = now + kRetryReadAfter;
  read_();
}

void StoredOrigins::OnRead(const absl::StatusOr<platform::KeyedPage>& page,
                           core::TimePoint now) {
  read_started_at_.reset();
  if (page.ok()) {
    ++reads_;
    read_at_ = now;
    ApplyPage(*page, now);
  }
  // Where the platform does not respond, the callers are told at once.
  std::vector<uint64_t> ended;
  for (const auto& [stream, search] : searches_) {
    if (page.ok() || search.asked == 0) {
      ended.push_back(stream);
    }
  }
  for (const uint64_t it : ended) {
    Finish(it, Lookup(it), page.ok());
  }
  for (const PendingQuery& it : std::exchange(pending_queries_, {})) {
    Answer(it, Lookup(it.query.stream), page.ok(), now);
  }
}

void StoredOrigins::ApplyPage(const platform::KeyedPage& page,
                              core::TimePoint now) {
  streams_.clear();
  versions_ = VersionRecord();
  std::optional<platform::Offset> newest_slot;
  std::map<std::string, uint32_t> own_slots;
  for (uint32_t i = 0; i < OriginRecorder::kSlots; ++i) {
    own_slots[SlotKey(self_, i)] = i;
  }
  for (const platform::KeyedRecord& it : page.records) {
    if (!it.value) {
      continue;
    }
    if (it.key == kVersionsKey) {
      const auto record = core::Decode<VersionRecord>(*it.value);
      if (record.ok()) {
        versions_ = *record;
      }
      continue;
    }
    const auto slot = core::Decode<StreamSlotRecord>(*it.value);
    if (!slot.ok()) {
      continue;
    }
    for (const OriginStreams& streams : slot->origins) {
      for (const StreamKey key : DecodeStreams(streams.streams)) {
        streams_.try_emplace(key.hash, streams.origin);
      }
    }
    const auto own = own_slots.find(it.key);
    if (own != own_slots.end() && (!newest_slot || it.offset > *newest_slot)) {
      newest_slot = it.offset;
      next_slot_ = (own->second + 1) % OriginRecorder::kSlots;
    }
  }
  if (history_->IsComplete(now)) {
    return;
  }
  // A record that was written before the platform was restored may have had a
  // successor.
  const bool is_complete =
      !versions_->pools.empty() && versions_->epoch == page.epoch;
  history_->AddPast(versions_->pools, is_complete, now);
  if (is_complete) {
    history_->SetComplete();
  }
}

void StoredOrigins::Finish(uint64_t stream,
                           std::optional<StreamOrigin> origin,
                           bool is_read) {
  const auto it = searches_.find(stream);
  if (it == searches_.end()) {
    return;
  }
  const std::vector<ResultCallback> callbacks = std::move(it->second.callbacks);
  searches_.erase(it);
  for (const ResultCallback& callback : callbacks) {
    callback(origin, is_read);
  }
}

absl::Status StoredOrigins::OnQuery(const core::HostId& from,
                                    std::string_view body,
                                    core::TimePoint now) {
  TRY_ASSIGN(auto query, core::Decode<StoredOriginQuery>(body));
  const PendingQuery pending{.from = from, .query = std::move(query)};
  const bool asks_for_stream = pending.query.stream != 0;
  const auto known = Lookup(pending.query.stream);
  const bool is_answerable =
      known || IsFresh(kMaxReadAge, now) ||
      (!asks_for_stream &&
       (history_->IsComplete(now) || IsFresh(kMaxHistoryInterval, now)));
  if (is_answerable || pending_queries_.size() >= kMaxPendingQueries ||
      searches_.size() >= kMaxPendingQueries) {
    Answer(pending, known, IsFresh(kMaxReadAge, now), now);
    return absl::OkStatus();
  }
  if (!is_reader_) {
    StartSearch(
        pending.query.stream, pending.query.pools, now,
        [this, pending, now](std::optional<StreamOrigin> origin, bool is_read) {
          Answer(pending, origin, is_read, now);
        });
    return absl::OkStatus();
  }
  StartRead(now);
  if (!read_started_at_) {
    Answer(pending, std::nullopt, false, now);
    return absl::OkStatus();
  }
  pending_queries_.push_back(pending);
  return absl::OkStatus();
}

void StoredOrigins::Answer(const PendingQuery& pending,
                           std::optional<StreamOrigin> origin,
                           bool is_read,
                           core::TimePoint now) {
  StoredOriginAnswer answer{
      .stream = pending.query.stream,
      .origin = std::nullopt,
      .is_read = is_read,
      .pools = {},
      .is_complete = history_->IsComplete(now),
      .view_age_ms = core::ToMilliseconds(now - history_->known_until())};
  if (origin) {
    answer.origin = origin->hash;
  }
  const std::vector<PoolOrigins> pools =
      history_->Recent(pending.query.pools, now);
  answer.is_complete =
      answer.is_complete ||
      std::all_of(pools.begin(), pools.end(), [&](const PoolOrigins& it) {
        return history_->IsComplete(it.pool, now);
      });
  for (size_t i = 0; i == 0 || i < pools.size(); i += kMaxPoolsPerAnswer) {
    answer.pools.clear();
    for (size_t j = i; j < std::min(pools.size(), i + kMaxPoolsPerAnswer);
         ++j) {
      // A pool with more versions than fit can't be described completely.
      if (pools[j].origins.size() <= kMaxOriginsPerPool) {
        answer.pools.push_back(pools[j]);
      }
    }
    send_({pending.from}, ApplicationKind::kStoredOriginAnswer,
          core::Encode(answer));
  }
}

absl::Status StoredOrigins::OnAnswer(const core::HostId& /*from*/,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const auto answer, core::Decode<StoredOriginAnswer>(body));
  // A complete history does not grow by what others observed earlier: each
  // answer would extend the time for which a version counts.
  if (!history_->IsComplete(now)) {
    // A version that came and left between the registrations of the two hosts
    // is in neither history.
    const core::TimePoint known_until =
        now - core::milliseconds(answer.view_age_ms) - kMaxTransitTime;
    history_->AddPast(
        answer.pools,
        answer.is_complete && history_->HasObservedSince(known_until), now);
  }
  if (answer.origin) {
    Finish(answer.stream, StreamOrigin{*answer.origin}, answer.is_read);
  } else if (answer.is_read) {
    Finish(answer.stream, std::nullopt, true);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
