// Registers a stand-in in the platform's host list and keeps its row up to
// date.

#ifndef TESTS_SUPPORT_HOST_REGISTRATION_H_
#define TESTS_SUPPORT_HOST_REGISTRATION_H_

#include <compare>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"

namespace wasabi::support {

// A row of the platform's host list; see docs/PROTOCOLS.md.
struct HostRow {
  std::string id;
  // "entry", "runner" or "service".
  std::string kind;
  std::string pool;
  std::string data_centre;
  // Address at which the fleet reaches the host, as "ip:port".
  std::string address;
  // "live" or "leaving".
  std::string state = "live";

  auto operator<=>(const HostRow&) const = default;
};

class HostRegistration {
 public:
  // Sends `row` to the platform immediately and then periodically, so that a
  // platform that was down receives it too. Does nothing if `platform` is
  // empty. `loop` must outlive this object.
  HostRegistration(core::EventLoop* loop,
                   const core::SocketAddress& platform,
                   HostRow row);

  // Sets the state of the row to "leaving" and sends it.
  void MarkLeaving();

 private:
  void Put();

  core::EventLoop* loop_;
  core::SocketAddress platform_;
  HostRow row_;
  http::Client client_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_HOST_REGISTRATION_H_
