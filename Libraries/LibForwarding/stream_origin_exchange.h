// Lets every host of a fleet find out at which origin a stream began, so that a
// caller can resume it at any host. It is decision code without I/O: the caller
// supplies the time, the hosts and a function that sends datagrams.
//
// The host that relays a stream's first event reports its origin to the first
// hosts in the rendezvous order of the stream. A host that a caller asks to
// resume the stream asks these hosts. Hosts that disagree about the fleet for a
// while still have most of them in common.

#ifndef LIBFORWARDING_STREAM_ORIGIN_EXCHANGE_H_
#define LIBFORWARDING_STREAM_ORIGIN_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/rendezvous.h"
#include "LibCore/time.h"
#include "LibForwarding/stream_origin.h"
#include "LibForwarding/stream_origin_table.h"
#include "LibMembership/application_kind.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

// The origin of one stream, in messages between hosts.
struct StreamOriginRecord {
  uint64_t stream = 0;
  // nullopt in the answer of a host that does not know the stream.
  std::optional<uint64_t> origin;

  MSGPACK_DEFINE(stream, origin);
};

// The streams that began at one host since its last report.
struct StreamOriginReport {
  std::vector<StreamOriginRecord> records;

  MSGPACK_DEFINE(records);
};

struct StreamOriginQuery {
  uint64_t stream = 0;

  MSGPACK_DEFINE(stream);
};

class StreamOriginExchange {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;
  // Receives the origin of a stream, or nullopt if no host that answered knows
  // it.
  using Callback = std::function<void(std::optional<StreamOrigin> origin)>;

  StreamOriginExchange(core::HostId self, SendFunction send);

  // Sets the running hosts of the fleet. They may include this host.
  void SetHosts(const std::vector<core::HostId>& hosts);

  // Records the origin of a stream that begins at this host.
  void Record(StreamKey stream, StreamOrigin origin, core::TimePoint now);

  // Finds the origin of a stream. Calls `callback` once: at once if this host
  // knows the stream, otherwise when another host knows it, all have answered
  // or the time for answers is over.
  void Find(StreamKey stream, core::TimePoint now, Callback callback);

  // Sends what is due, and ends what has waited too long. Must be called every
  // few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handle a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReport(std::string_view body, core::TimePoint now);
  absl::Status OnQuery(const core::HostId& from, std::string_view body);
  absl::Status OnAnswer(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);

 private:
  // A search that waits for answers.
  struct Search {
    std::vector<Callback> callbacks;
    // The hosts that were asked and have not answered.
    std::vector<core::HostId> asked;
    core::TimePoint repeat_at;
    core::TimePoint ends_at;
    bool is_repeated = false;
  };

  // Returns the first `n` other hosts in the rendezvous order of a stream.
  std::vector<core::HostId> FirstHosts(StreamKey stream, size_t n) const;
  void SendReports();
  void Ask(StreamKey stream, const std::vector<core::HostId>& hosts);
  // Ends the search for a stream.
  void Finish(StreamKey stream, std::optional<StreamOrigin> origin);

  const core::HostId self_;
  const SendFunction send_;
  std::vector<core::HostId> hosts_;
  std::vector<core::RendezvousCandidate> candidates_;
  StreamOriginTable table_;
  // Records that have not been sent yet, by receiver.
  std::map<core::HostId, StreamOriginReport> unsent_;
  std::map<StreamKey, Search> searches_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STREAM_ORIGIN_EXCHANGE_H_
