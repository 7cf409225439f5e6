// Finds out from the fleet's records at which origin a stream began, when no
// host remembers it. It is decision code without I/O: the caller supplies the
// time, the hosts and functions that send datagrams and read the records.
//
// Load pattern: all hosts restart at once, and within two seconds callers
// resume their streams at each of them. All hosts that were ever registered
// have one order, found by rendezvous hashing. The first three read the
// records. Any other host asks the first ones that it can reach, which do the
// same: a host that has just started knows few others, but mostly one that
// comes earlier. A host that gets no answer reads by itself, with a chance that
// falls with the size of the fleet.

#ifndef LIBFORWARDING_STORED_ORIGINS_H_
#define LIBFORWARDING_STORED_ORIGINS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibForwarding/origin_history.h"
#include "LibForwarding/origin_records.h"
#include "LibForwarding/stream_origin.h"
#include "LibMembership/application_kind.h"
#include "LibPlatform/keyed_topic_client.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

struct StoredOriginQuery {
  // 0 if only the history is asked for.
  uint64_t stream = 0;
  // The pools whose history is asked for; empty for all.
  std::vector<uint64_t> pools;

  MSGPACK_DEFINE(stream, pools);
};

struct StoredOriginAnswer {
  uint64_t stream = 0;
  std::optional<uint64_t> origin;
  // Whether the sender has read the records.
  bool is_read = false;
  // The recent origins of pools, and whether these are all they had.
  std::vector<PoolOrigins> pools;
  bool is_complete = false;
  // Age of the sender's latest registrations in milliseconds. Older builds do
  // not state it.
  int64_t view_age_ms = 0;

  MSGPACK_DEFINE(stream, origin, is_read, pools, is_complete, view_age_ms);
};

class StoredOrigins {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;
  // Starts to read all records of the topic. OnRead is called with the result.
  using ReadFunction = std::function<void()>;
  // Receives the origin of a stream, or nullopt if it is not recorded. By then
  // the history contains what could be found out about the pools.
  using Callback = std::function<void(std::optional<StreamOrigin> origin)>;

  // `history` must outlive this object.
  StoredOrigins(core::HostId self,
                OriginHistory* history,
                uint64_t random_seed,
                SendFunction send,
                ReadFunction read);

  // Sets the running hosts that this host can reach, and all hosts that were
  // ever registered. Either may include this host.
  void SetHosts(const std::vector<core::HostId>& running,
                const std::vector<core::HostId>& registered);

  // Finds the origin of a stream whose route uses `pools`, or only the history
  // of these pools if `stream` is nullopt. Calls `callback` once.
  void Find(std::optional<StreamKey> stream,
            const std::vector<WeightedPool>& pools,
            core::TimePoint now,
            Callback callback);

  // Ends what has waited too long, and asks for the history while it is
  // incomplete. Must be called every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Reads the records unless a read is in flight or has just failed.
  void StartRead(core::TimePoint now);
  // Handles the result of a read.
  void OnRead(const absl::StatusOr<platform::KeyedPage>& page,
              core::TimePoint now);

  // Handle a datagram of another host. Error: kMalformedMessage.
  absl::Status OnQuery(const core::HostId& from,
                       std::string_view body,
                       core::TimePoint now);
  absl::Status OnAnswer(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);

  // Returns the record of versions as of the last read or SetVersions, or
  // nullopt before.
  const std::optional<VersionRecord>& versions() const { return versions_; }
  // Sets the record of versions that this host has written.
  void SetVersions(VersionRecord record) { versions_ = std::move(record); }
  // Returns the number of successful reads.
  uint64_t reads() const { return reads_; }
  bool is_read() const { return read_at_.has_value(); }
  // Returns the slot after the newest one of this host as of the last read.
  uint32_t next_slot() const { return next_slot_; }
  size_t streams() const { return streams_.size(); }
  bool IsReader() const { return is_reader_; }

 private:
  // Receives the origin, and whether records were read that would have it.
  using ResultCallback =
      std::function<void(std::optional<StreamOrigin> origin, bool is_read)>;
  struct Search {
    std::vector<ResultCallback> callbacks;
    std::vector<uint64_t> pools;
    core::TimePoint started_at{};
    core::TimePoint next_step_at{};
    // Number of hosts that were asked.
    size_t asked = 0;
    bool is_read_decided = false;
  };
  // A query of another host that waits for the end of a read.
  struct PendingQuery {
    core::HostId from;
    StoredOriginQuery query;
  };

  bool IsFresh(core::Duration max_age, core::TimePoint now) const;
  // Searches for the origin of the stream `key`, whose route uses `pools`.
  void StartSearch(uint64_t key,
                   std::vector<uint64_t> pools,
                   core::TimePoint now,
                   ResultCallback callback);
  // Asks the next host, or decides whether to read.
  void TakeStep(uint64_t key, Search& search, core::TimePoint now);
  void AskForHistory(core::TimePoint now);
  void Answer(const PendingQuery& query,
              std::optional<StreamOrigin> origin,
              bool is_read,
              core::TimePoint now);
  std::optional<StreamOrigin> Lookup(uint64_t stream) const;
  void ApplyPage(const platform::KeyedPage& page, core::TimePoint now);
  void Finish(uint64_t stream,
              std::optional<StreamOrigin> origin,
              bool is_read);

  const core::HostId self_;
  OriginHistory* const history_;
  core::RandomSource random_;
  const SendFunction send_;
  const ReadFunction read_;
  // The first hosts before this one in the order of readers that it can reach.
  std::vector<core::HostId> earlier_hosts_;
  bool is_reader_ = false;
  size_t hosts_ = 1;
  std::map<uint64_t, Search> searches_;
  std::vector<PendingQuery> pending_queries_;
  absl::flat_hash_map<uint64_t, uint64_t> streams_;
  std::optional<VersionRecord> versions_;
  uint32_t next_slot_ = 0;
  std::optional<core::TimePoint> read_started_at_;
  std::optional<core::TimePoint> read_at_;
  core::TimePoint next_read_at_{};
  core::TimePoint next_history_query_at_{};
  core::Duration history_query_interval_;
  uint64_t reads_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STORED_ORIGINS_H_
