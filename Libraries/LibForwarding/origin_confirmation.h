// Makes what this host believes of the endpoints' versions as fresh as a stream
// that it is asked to resume. It is decision code without I/O: the caller
// supplies the time and a function that reads the registrations.
//
// Load pattern: endpoints of a new version join while this host is cut off,
// frozen or suspended, and callers resume streams here that began at them. An
// endpoint is registered before any stream begins at it, so that a read of the
// registrations that starts after the request has arrived contains the version.
// No clock of this host tells how old a message is that waited in its buffers;
// the order of request and read does not depend on clocks. One read serves all
// requests that arrived before it.

#ifndef LIBFORWARDING_ORIGIN_CONFIRMATION_H_
#define LIBFORWARDING_ORIGIN_CONFIRMATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::forwarding {

class OriginConfirmation {
 public:
  // Receives whether the read has returned all registrations that this host
  // lacked. By then their origins are in the history.
  using ReadCallback = std::function<void(bool is_complete)>;
  // Starts to read the registrations that this host lacks. The callback is not
  // called after the end of this object.
  using ReadFunction = std::function<void(ReadCallback callback)>;
  // Receives whether the history contains every version that was registered
  // before the request arrived.
  using Callback = std::function<void(bool is_confirmed)>;

  explicit OriginConfirmation(ReadFunction read);

  // Confirms the history for a request that arrived at `received_at`. Calls
  // `callback` once, possibly before this returns.
  void Confirm(core::TimePoint received_at,
               core::TimePoint now,
               Callback callback);
  // Starts the reads that are due, and ends what has waited too long. Must be
  // called every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Returns the number of reads so far.
  uint64_t reads() const { return reads_; }

 private:
  struct Waiting {
    core::TimePoint received_at;
    core::TimePoint ends_at;
    Callback callback;
  };

  void StartRead(core::TimePoint now);
  void OnRead(uint64_t read, bool is_complete);
  // Ends the requests for which `is_over` holds, with the outcome
  // `is_confirmed`.
  void Finish(const std::function<bool(const Waiting& waiting)>& is_over,
              bool is_confirmed);

  const ReadFunction read_;
  std::vector<Waiting> waiting_;
  // Start of the read in flight.
  std::optional<core::TimePoint> read_started_at_;
  // Start of the latest complete read.
  std::optional<core::TimePoint> confirmed_at_;
  core::TimePoint next_read_at_{};
  uint64_t reads_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_CONFIRMATION_H_
