// An endpoint of the platform's protocol that notes each request when it begins
// to work on it, and when that work ends, and that answers some of them as a
// faulty endpoint or link would.

#ifndef TESTS_ONCE_ONCE_ENDPOINT_H_
#define TESTS_ONCE_ONCE_ENDPOINT_H_

#include <memory>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibCore/socket_address.h"
#include "Tests/Once/once_record.h"

namespace wasabi::once {

// What an endpoint does once it has written Behaviour::text.
enum class Then : uint8_t {
  // Serves the request.
  kServes,
  // Works on for some time, then answers.
  kWorksOn,
  // Has answered.
  kIsDone,
  kCloses,
  kResets,
  // Neither writes nor reads for some time, then serves the request.
  kStandsStill,
};

// When an endpoint writes its refusals on a connection once more.
enum class CopyTime : uint8_t {
  kNever,
  // At once, before the next request on the connection.
  kBefore,
  // When the head of the next request has arrived.
  kAsRead,
  // Some time after that.
  kAfter,
};

// How an endpoint treats some of the requests.
struct Behaviour {
  const char* name = "serves all";
  // Written when the request has begun. "{id}" stands for its id, "{old}" for
  // that of another request.
  const char* text = "";
  Then then = Then::kServes;
  // Share of the requests (0 to 1) that are treated so; the others are served.
  double share = 0;
  // Only requests on connections that carried one before.
  bool is_for_reused = false;
  // Further fields of the heads of answers.
  const char* fields = "";
  // Written again this long after each answer; nothing if it is empty.
  const char* late_text = "";
  core::Duration late_by = core::Duration::zero();
  // How long the endpoint works on, or stands still.
  core::Duration time = core::milliseconds(700);
  // The endpoint takes the end of what a host sends for the end of its requests
  // only, and works on until the connection is reset.
  bool ignores_half_close = false;
  // Idle connections are closed up to this long after an answer; kept if zero.
  core::Duration max_idle = core::Duration::zero();
  // Share of the requests that are refused with 503 and Not-Executed, before
  // the endpoint looks at the id of the endpoint that they are meant for.
  double refused_share = 0;
  CopyTime copy_time = CopyTime::kNever;
  // Refusals with 421 are written once more as well, not only those with 503.
  bool copies_misdirected = true;
  // The fields of copies that name requests; as in `text`.
  const char* copy_ids = "Request-Id: {id}\r\n";
};

class OnceEndpoint {
 public:
  // Listens on `address`; aborts the process if that fails. `loop` and `record`
  // must outlive the endpoint.
  OnceEndpoint(core::EventLoop* loop,
               std::string id,
               const core::SocketAddress& address,
               OnceRecord* record,
               uint64_t seed);
  ~OnceEndpoint();
  OnceEndpoint(const OnceEndpoint&) = delete;
  OnceEndpoint& operator=(const OnceEndpoint&) = delete;

  void SetBehaviour(const Behaviour& behaviour) { behaviour_ = behaviour; }
  // While not accepting, the kernel completes connections until the listen
  // queue is full.
  void SetAccepting(bool is_accepting);
  // Ends all connections.
  void CloseAll(bool resets);

  const std::string& id() const { return id_; }
  const core::SocketAddress& address() const { return address_; }

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  void AcceptAvailable();
  void OnReady(const ConnectionPointer& connection);
  // Closes the connection once the host has reset it.
  void AwaitReset(const ConnectionPointer& connection);
  void ReadRequests(const ConnectionPointer& connection);
  // Refuses the request whose head is complete, if it has to be.
  bool Refuse(const ConnectionPointer& connection, const std::string& head);
  void WriteCopies(const ConnectionPointer& connection);
  void Begin(const ConnectionPointer& connection, const std::string& request);
  void Serve(const ConnectionPointer& connection);
  void SendEvent(const ConnectionPointer& connection);
  void FinishWork(const ConnectionPointer& connection);
  // Writes `text`; ends the work if the host has rejected earlier bytes.
  void Write(const ConnectionPointer& connection, const std::string& text);
  void Close(const ConnectionPointer& connection, bool resets);
  void CallAfter(const ConnectionPointer& connection,
                 core::Duration delay,
                 void (OnceEndpoint::*method)(const ConnectionPointer&));

  core::EventLoop* const loop_;
  const std::string id_;
  const core::SocketAddress address_;
  OnceRecord* const record_;
  core::RandomSource random_;
  Behaviour behaviour_;
  int descriptor_ = -1;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::set<ConnectionPointer> connections_;
  std::string last_id_ = "none";
};

}  // namespace wasabi::once

#endif  // TESTS_ONCE_ONCE_ENDPOINT_H_
