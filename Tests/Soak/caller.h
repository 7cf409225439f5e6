// Simulates a caller of the fleet: resolves the addresses of hosts, caches them
// for their lifetime, and sends requests over reused connections.

#ifndef TESTS_SOAK_CALLER_H_
#define TESTS_SOAK_CALLER_H_

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/origin_client.h"
#include "Tests/Soak/history.h"

namespace wasabi::soak {

// The addresses at which a host accepts callers' requests and address lookups.
struct HostAddresses {
  core::SocketAddress callers;
  core::SocketAddress discovery;
};

class Caller {
 public:
  // `hosts` is indexed by host number; `number` is the index of this caller.
  // Every third caller keeps addresses for three times their lifetime, and some
  // keep one host until its process is gone. All pointers must outlive the
  // caller.
  Caller(core::EventLoop* loop,
         const std::vector<HostAddresses>* hosts,
         History* history,
         size_t number,
         uint64_t seed);

  // Sends a request of a random kind, or does nothing if no address is known.
  // `newest_version` is the version of the newest acknowledged configuration.
  void SendRequest(int64_t newest_version);

  // Puts a prompt part that crashes endpoints into some of the streams from now
  // on; none if `part` is empty.
  void SetHarmfulPart(const std::string& part) { harmful_part_ = part; }

  // Sends some requests with very large bodies from now on.
  void SendLargeRequests() { sends_large_ = true; }

  // Resolves the addresses again when they have expired. Must be called
  // frequently.
  void Poll();

 private:
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;

  void ResolveAddresses();
  void OnAddresses(const std::string& body);
  std::shared_ptr<Call> NewCall(int64_t newest_version);
  // Returns the parts of the prompt of a stream.
  static std::string PromptOf(const Call& call);
  http::OriginRequest RequestOf(const Call& call) const;
  void Send(const std::shared_ptr<Call>& call);
  void OnEnd(const ExchangePointer& exchange, http::OriginOutcome end);
  // Takes up the stream of `failed`, which was cut, at any host.
  void TakeUp(const std::shared_ptr<Call>& failed);
  void Leave(const ExchangePointer& exchange);

  core::EventLoop* const loop_;
  // Timers of streams that are taken up again later.
  std::list<std::unique_ptr<core::Timer>> pauses_;
  const std::vector<HostAddresses>* const hosts_;
  History* const history_;
  const size_t number_;
  core::RandomSource random_;
  http::OriginClient client_;
  // Indices of the hosts in the last resolved list of addresses.
  std::vector<size_t> known_hosts_;
  core::TimePoint resolve_at_{};
  std::shared_ptr<http::OriginCall> resolve_call_;
  uint64_t next_call_ = 0;
  std::string harmful_part_;
  bool sends_large_ = false;
  // Keeps one host until nothing listens at its address.
  const bool clings_;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_CALLER_H_
