// Identifies the requests that were in flight at an endpoint when it crashed. A
// single broken connection does not prove a crash. Only if the endpoint then
// also refuses connections, while this host's path to other endpoints is good,
// is every request whose connection broke there recorded as a suspect.

#ifndef LIBFORWARDING_CRASH_DETECTOR_H_
#define LIBFORWARDING_CRASH_DETECTOR_H_

#include <map>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibForwarding/crash_suspects.h"
#include "LibForwarding/endpoint.h"
#include "LibForwarding/path_prober.h"
#include "LibForwarding/request_fingerprint.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::forwarding {

class CrashDetector {
 public:
  // The arguments must outlive this object.
  CrashDetector(core::EventLoop* loop,
                core::EventRing* events,
                CrashSuspects* suspects,
                PathProber* path);

  // Records that the connection to `endpoint` broke during a request. Starts an
  // investigation of the endpoint unless one is running.
  void RecordBrokenConnection(const Endpoint& endpoint,
                              RequestFingerprint request);

 private:
  // A running investigation of one endpoint, with the requests whose
  // connections broke there.
  struct Case {
    Endpoint endpoint;
    std::vector<RequestFingerprint> requests;
    std::unique_ptr<core::Timer> timer;
    std::shared_ptr<http::TcpStream> probe;
  };

  void Probe(const core::RunnerId& id);
  void OnRefused(const core::RunnerId& id);
  // Ends an investigation. If the endpoint has crashed, reports the requests of
  // the investigation as suspects.
  void Close(const core::RunnerId& id, bool has_crashed);

  core::EventLoop* const loop_;
  core::EventRing* const events_;
  CrashSuspects* const suspects_;
  PathProber* const path_;
  std::map<core::RunnerId, Case> cases_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_DETECTOR_H_
