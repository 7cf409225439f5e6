// Finds out which requests were in flight at an endpoint that crashed. A single
// connection that breaks proves nothing; when the endpoint then refuses
// connections too, every request that was cut there is a suspect.

#ifndef LIBFORWARDING_CRASH_WATCH_H_
#define LIBFORWARDING_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibForwarding/endpoint.h"
#include "LibHttp/tcp_stream.h"
#include "LibRouting/quarantine_table.h"

namespace wasabi::forwarding {

class CrashWatch {
 public:
  // The arguments must outlive the watch.
  CrashWatch(core::EventLoop* loop,
             core::EventRing* events,
             routing::QuarantineTable* quarantine);

  // A connection to `endpoint` broke under a request with this content.
  void NoteCut(const Endpoint& endpoint, uint64_t content_digest);

 private:
  // The cuts at one endpoint that are being looked into.
  struct Case {
    Endpoint endpoint;
    std::vector<uint64_t> digests;
    std::unique_ptr<core::Timer> timer;
    std::shared_ptr<http::TcpStream> probe;
  };

  void Probe(const core::RunnerId& id);
  void Close(const core::RunnerId& id, bool has_crashed);

  core::EventLoop* const loop_;
  core::EventRing* const events_;
  routing::QuarantineTable* const quarantine_;
  std::map<core::RunnerId, Case> cases_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_WATCH_H_
