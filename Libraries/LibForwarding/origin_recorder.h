// Appends the origins of streams to the fleet's topic of the platform while a
// pool has more than one version. It is decision code without I/O: the caller
// supplies the time and functions that send datagrams and write records.
//
// Load pattern: a release during which streams begin at several versions, up to
// some thousand a second in the whole fleet. Each group of hosts has one host
// that writes what all of the group report, in one call every 100 ms. The keys
// form a ring, so that the topic stays bounded.

#ifndef LIBFORWARDING_ORIGIN_RECORDER_H_
#define LIBFORWARDING_ORIGIN_RECORDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/time.h"
#include "LibForwarding/origin_records.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

// Streams that one host asks another one to record.
struct RecordOriginsRequest {
  // Number of the request, unique in its sender.
  uint64_t sequence = 0;
  std::vector<OriginStreams> origins;

  MSGPACK_DEFINE(sequence, origins);
};

// Confirms that the streams of these requests are in the platform's store.
struct OriginsRecordedMessage {
  std::vector<uint64_t> sequences;

  MSGPACK_DEFINE(sequences);
};

class OriginRecorder {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;
  // Writes a record, then calls `done` with whether that is certain.
  using PutFunction = std::function<void(const std::string& key,
                                         const std::string& value,
                                         std::function<void(bool)> done)>;

  OriginRecorder(core::HostId self, SendFunction send, PutFunction put);

  // Sets the first slot of the ring that may be overwritten. Nothing is written
  // before, as it could replace the newest slots of this host's previous
  // process.
  void SetPosition(uint32_t slot) { slot_ = slot % kSlots; }
  // Returns whether streams wait for SetPosition.
  bool NeedsPosition() const { return !slot_ && pending_.size() > 0; }
  // Sets the number of hosts that may write at the same time.
  void SetWriters(size_t writers) { writers_ = writers; }

  // Records streams that began at this host.
  void Add(const std::vector<OriginStreams>& streams);
  // Handles the datagram of another host. Error: kMalformedMessage.
  absl::Status OnRequest(const core::HostId& from, std::string_view body);
  // Writes what is due. Must be called every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Returns the number of records written, or attempted to be.
  uint64_t writes() const { return writes_; }

  // Slots of the ring. Each holds the streams of half a second or more, so that
  // the ring covers 32 s, twice the longest deadline of deployed fleets.
  static constexpr uint32_t kSlots = 64;

 private:
  struct Unconfirmed {
    core::HostId from;
    uint64_t sequence = 0;
  };

  void Write(core::TimePoint now);
  void OnWritten(bool is_certain, core::TimePoint started_at);
  // Confirms the requests in `written_requests_`.
  void Confirm();

  const core::HostId self_;
  const SendFunction send_;
  const PutFunction put_;
  std::optional<uint32_t> slot_;
  size_t writers_ = 1;
  // Streams that are not in the slot yet, and the requests that brought them.
  StreamBatch pending_;
  std::vector<Unconfirmed> pending_requests_;
  // The contents of the slot, and the requests that brought what may not be in
  // the store yet.
  StreamBatch slot_streams_;
  std::vector<Unconfirmed> written_requests_;
  core::TimePoint slot_started_at_{};
  bool is_slot_uncertain_ = false;
  bool is_slot_finished_ = false;
  bool is_writing_ = false;
  core::TimePoint next_write_at_{};
  uint64_t writes_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_RECORDER_H_
