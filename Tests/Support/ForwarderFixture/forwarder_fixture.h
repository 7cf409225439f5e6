// A forwarding daemon on loopback addresses, between a caller and two endpoints
// that respond from one shared script.

#ifndef TESTS_SUPPORT_FORWARDERFIXTURE_FORWARDER_FIXTURE_H_
#define TESTS_SUPPORT_FORWARDERFIXTURE_FORWARDER_FIXTURE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForwarding/adapter_set.h"
#include "LibHttp/origin_client.h"
#include "LibPlatform/loop_scheduler.h"
#include "Services/Forwarder/forwarder_daemon.h"
#include "Tests/Support/ForwarderFixture/linked_records.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"

namespace wasabi::support {

// At the end of a scripted response: closes the connection after the text
// before it has been sent.
inline constexpr char kClose = '\x01';
// The same, but resets the connection when the text has arrived.
inline constexpr char kReset = '\x02';
// The end of a chunked body.
inline constexpr const char* kStreamEnd = "0\r\n\r\n";

// Returns an endpoint's response with the id of the request and the headers in
// `fields`.
std::string ScriptedAnswer(int status,
                           const std::string& fields,
                           const std::string& body);
// Returns a signed 200 response.
std::string ScriptedSuccess(const std::string& body);
// Returns the head of a chunked event stream and one chunk with `events`, in
// answer to the request `id`.
std::string ChunkedStreamStart(const std::string& events,
                               const std::string& id = "id1");
// Returns the head of an event stream with neither a length nor chunks, and
// `events`.
std::string UnframedStreamStart(const std::string& events);

// The response that a caller received.
struct CallerResult {
  int status = 0;
  http::Headers headers;
  std::string body;
  // How the call ended; nullopt if it has not.
  std::optional<http::OriginOutcome> end;
};

// Another daemon of the fixture's fleet, with a store of the same contents.
struct FixturePeer {
  FakeTopicClient* store = nullptr;
  EndpointLinkMap links;
  forwarder::ForwarderSettings settings;
  std::unique_ptr<forwarder::ForwarderDaemon> daemon;
};

struct FixtureOptions {
  // Whether no request is older than the daemon.
  bool is_first_start = false;
  bool load_control_enabled = false;
  // Maximum time for which callers keep an address, unless three times as long.
  core::Duration max_address_lifetime = core::milliseconds(100);
  // By default enough for all retries, also of a host that has just started.
  forwarding::RetryAllowancePolicy retries = {.ratio = 10,
                                              .slack = 100,
                                              .window = core::seconds(10)};
};

// The endpoints "e1" and "e2" are ready and belong to the pool "p" of most
// routes. An empty scripted response means that the endpoint does not respond.
struct ForwarderFixture {
  explicit ForwarderFixture(const FixtureOptions& options = {});

  // Kills the daemon. Its store keeps the records.
  void KillHosts();
  // Starts the daemon again, with the records of its previous store.
  void RestartHosts();

  void WriteConfiguration();
  // Writes the configuration and waits until the daemon is ready.
  void Configure();
  // Writes the registration of `server` as the endpoint `id`.
  void Register(const char* id,
                const RawServer& server,
                const char* state,
                const char* pool = "p",
                const char* software_version = "v1");
  // Starts another daemon, which reaches the endpoints by `peer_links`, and
  // waits until it is ready and both daemons know each other. Requires
  // Configure.
  FixturePeer* AddPeer(const std::string& host,
                       const EndpointLinkMap& peer_links = {});
  // Kills the daemon and starts it anew, with a store of the same contents. A
  // new history of the store begins.
  void Restart();
  // Runs the loop until `is_done`, or for ten seconds. Returns whether it was
  // done in time.
  bool RunUntil(const std::function<bool()>& is_done);
  std::shared_ptr<http::OriginCall> Send(const std::string& target,
                                         const http::Headers& more,
                                         bool is_ready_check,
                                         CallerResult* result);
  // Sends a request and waits for the end of its response.
  CallerResult Get(const std::string& target,
                   bool is_ready_check = false,
                   const std::vector<http::Headers::Field>& more = {});
  // Returns what the daemon with `of` serves at `target` of its internal
  // address.
  std::string GetInternal(const std::string& target,
                          const forwarder::ForwarderSettings& of);

  core::EventLoop loop;
  platform::LoopScheduler scheduler;
  RawServer first;
  RawServer second;
  // The id of the requests that are sent from now on.
  std::string request_id = "id1";
  std::deque<std::string> script;
  // The text of each request that reached an endpoint.
  std::vector<std::string> received;
  FakeTopicClient* store = nullptr;
  forwarding::TopicNames names;
  forwarder::ForwarderSettings settings;
  // The data centres of endpoints, by their ids, in registrations that are
  // written from now on; "z1" for others.
  std::map<std::string, std::string> data_centres;
  // To be set before Configure.
  EndpointLinkMap links;
  // The grace period of daemons that are created from now on.
  core::Duration shutdown_grace = core::seconds(2);
  std::unique_ptr<forwarder::ForwarderDaemon> daemon;
  std::vector<std::unique_ptr<FixturePeer>> peers;
  http::OriginClient client;

 private:
  forwarder::ForwarderSettings NewSettings(const std::string& host,
                                           const std::string& ip) const;
  std::unique_ptr<forwarder::ForwarderDaemon> NewDaemon(
      const forwarder::ForwarderSettings& daemon_settings,
      const EndpointLinkMap* daemon_links,
      FakeTopicClient** topics);
  void Start(const FixtureOptions& options);
  void WriteRegistration(FakeTopicClient* topics,
                         const char* id,
                         const RawServer& server,
                         const char* state,
                         const char* pool,
                         const char* software_version,
                         int sequence);
  std::string Respond(RawServer* server, const std::string& text);

  const forwarding::RetryAllowancePolicy retries_;
  int sequence_ = 0;
  std::vector<std::unique_ptr<core::Timer>> reset_timers_;
  // The records of the store while no daemon runs.
  KeyedLog kept_log_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FORWARDERFIXTURE_FORWARDER_FIXTURE_H_
