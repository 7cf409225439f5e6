// Finds out whether this host has lost its own path to the endpoints. After a
// connection has failed it probes other endpoints, and while the path is lost
// it probes until one of them can be reached again.

#ifndef LIBFORWARDING_PATH_PROBER_H_
#define LIBFORWARDING_PATH_PROBER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/random_source.h"
#include "LibForwarding/carrier_directory.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/path_monitor.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::forwarding {

class PathProber {
 public:
  // Called with the result of a check.
  using Callback = std::function<void(bool is_lost)>;

  // All pointers must outlive this object.
  PathProber(core::EventLoop* loop,
             core::EventRing* events,
             const EndpointTable* endpoints,
             const CarrierDirectory* carriers,
             uint64_t seed);
  ~PathProber();
  PathProber(const PathProber&) = delete;
  PathProber& operator=(const PathProber&) = delete;

  // See PathMonitor. A failure starts a check unless one is running.
  void RecordConnected();
  void RecordFailure(const core::RunnerId& endpoint);

  // Returns whether the path is lost. Without another host there is nothing to
  // compare this host's path with, so that it never counts as lost.
  bool is_lost() const { return monitor_.is_lost() && !carriers_->empty(); }

  // Calls `callback` once the running check has ended, or at once if none is
  // running.
  void AfterCheck(Callback callback);
  // Sets a callback that runs when the path is lost.
  void SetLossObserver(std::function<void()> observer) {
    on_loss_ = std::move(observer);
  }

 private:
  struct Probe {
    core::RunnerId endpoint;
    std::shared_ptr<http::TcpStream> stream;
  };

  // Probes a few endpoints at once, if possible some that have not failed.
  void StartCheck();
  void StartProbe(const Endpoint& endpoint);
  void OnProbeEnd(const core::RunnerId& endpoint, bool is_reachable);
  void OnTimeout();
  // Ends the check, and starts the next one later if the path is lost.
  void EndCheck();
  // Records and reports that the path was lost or restored.
  void NoteChange();

  core::EventLoop* const loop_;
  core::EventRing* const events_;
  const EndpointTable* const endpoints_;
  const CarrierDirectory* const carriers_;
  core::RandomSource random_;
  PathMonitor monitor_;
  std::vector<Probe> probes_;
  std::vector<Callback> waiting_;
  std::unique_ptr<core::Timer> timeout_;
  std::unique_ptr<core::Timer> next_check_;
  std::function<void()> on_loss_;
  bool is_checking_ = false;
  bool was_lost_ = false;
  core::TimePoint lost_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PATH_PROBER_H_
