// Opens connections to endpoints whose connections have broken, so that a later
// read of the registrations describes the process that serves there
// (OriginCertainty). Nothing is sent.

#ifndef LIBFORWARDING_ORIGIN_PROBER_H_
#define LIBFORWARDING_ORIGIN_PROBER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibForwarding/origin_certainty.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::forwarding {

class OriginProber {
 public:
  using Callback = std::function<void()>;

  // The arguments must outlive this object.
  OriginProber(core::EventLoop* loop, OriginCertainty* certainty);
  ~OriginProber();
  OriginProber(const OriginProber&) = delete;
  OriginProber& operator=(const OriginProber&) = delete;

  // Connects to `address` unless that was done since its latest break, and then
  // calls `done`, with or without success. May call it before this returns.
  void Probe(const core::SocketAddress& address, Callback done);

 private:
  struct RunningProbe {
    std::shared_ptr<http::TcpStream> stream;
    std::unique_ptr<core::Timer> timer;
    std::vector<Callback> callbacks;
  };

  // Takes its argument by value: the callback that holds it may go.
  void End(core::SocketAddress address, bool is_connected);

  core::EventLoop* const loop_;
  OriginCertainty* const certainty_;
  std::map<core::SocketAddress, RunningProbe> probes_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_PROBER_H_
