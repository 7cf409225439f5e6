// A caller: asks the fleet for addresses, keeps them for a while, and sends
// requests over connections that it keeps.

#ifndef TESTS_SOAK_CALLER_H_
#define TESTS_SOAK_CALLER_H_

#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/origin_client.h"
#include "Tests/Soak/history.h"

namespace wasabi::soak {

// Where a host's callers connect and ask for addresses.
struct HostAddresses {
  core::SocketAddress callers;
  core::SocketAddress discovery;
};

class Caller {
 public:
  // `hosts` by their numbers. Some callers keep addresses for three times their
  // lifetime. All pointers must outlive the caller.
  Caller(core::EventLoop* loop,
         const std::vector<HostAddresses>* hosts,
         History* history,
         size_t number,
         uint64_t seed);

  // Sends a request of a random kind; does nothing while no address is known.
  // `newest_version` is that of the newest acknowledged configuration.
  void SendRequest(int64_t newest_version);

  // To be called often: renews the addresses.
  void Poll();

 private:
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;

  void AskForAddresses();
  void OnAddresses(const std::string& body);
  std::shared_ptr<Call> NewCall(int64_t newest_version);
  http::OriginRequest RequestOf(const Call& call) const;
  void Send(const std::shared_ptr<Call>& call);
  void OnEnd(const ExchangePointer& exchange, http::OriginOutcome end);
  void Leave(const ExchangePointer& exchange);

  core::EventLoop* const loop_;
  const std::vector<HostAddresses>* const hosts_;
  History* const history_;
  const size_t number_;
  core::RandomSource random_;
  http::OriginClient client_;
  // Numbers of the hosts whose addresses are in use.
  std::vector<size_t> known_hosts_;
  core::TimePoint ask_at_{};
  std::shared_ptr<http::OriginCall> question_;
  uint64_t next_call_ = 0;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_CALLER_H_
