// The daemon that forwards callers' requests to endpoints over a platform's
// protocols. It creates and connects the servers, controllers and shared state.

#ifndef SERVICES_FORWARDER_FORWARDER_DAEMON_H_
#define SERVICES_FORWARDER_FORWARDER_DAEMON_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibCore/process_seed.h"
#include "LibCore/random_source.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/origin_prober.h"
#include "LibForwarding/tunnel_server.h"
#include "LibHttp/client.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/request_server.h"
#include "LibPlatform/loop_scheduler.h"
#include "Services/Forwarder/configuration_controller.h"
#include "Services/Forwarder/fleet_controller.h"
#include "Services/Forwarder/forwarder_settings.h"
#include "Services/Forwarder/registration_controller.h"
#include "Services/Forwarder/startup_queue.h"
#include "Services/Forwarder/stop_controller.h"

namespace wasabi::forwarder {

class ForwarderDaemon {
 public:
  // Creates the adapters of one platform, whose store is at `platform_address`.
  // `client` and `events` outlive the adapters.
  using AdapterFactory = std::function<forwarding::AdapterSet(
      http::Client* client,
      const core::SocketAddress& platform_address,
      core::EventRing* events)>;

  // Opens the listening sockets and joins the fleet. Reload() reads the file at
  // `settings_path` again. `loop` must outlive the daemon. Error:
  // kCannotListen.
  static absl::StatusOr<std::unique_ptr<ForwarderDaemon>> Create(
      core::EventLoop* loop,
      const ForwarderSettings& settings,
      std::string settings_path,
      const AdapterFactory& make_adapters);
  ~ForwarderDaemon();
  ForwarderDaemon(const ForwarderDaemon&) = delete;
  ForwarderDaemon& operator=(const ForwarderDaemon&) = delete;

  // Starts a graceful shutdown: the host leaves the fleet, accepts requests
  // until callers no longer use its cached address, from then on only those
  // that it is certain to complete, completes the requests in flight and stops
  // the event loop. `signalled_after` is a time before which the process did
  // not have the stop signal.
  void BeginShutdown(core::TimePoint signalled_after);

  // Reads the settings file again. If it is invalid, the current settings stay
  // in effect.
  void Reload();

 private:
  using TransactionPointer = std::shared_ptr<http::Transaction>;

  ForwarderDaemon(core::EventLoop* loop,
                  const ForwarderSettings& settings,
                  std::string settings_path,
                  const AdapterFactory& make_adapters);

  absl::Status Start();
  absl::Status StartServers();
  void InitializeContext();
  // Handles that an endpoint may have started anew.
  void OnConnectionLost(const core::SocketAddress& address);
  // Whether the settings or the platform's contracts ask for load control.
  bool IsLoadControlEnabled() const;
  void ConnectColdEndpoints();
  void OnConfiguration(const forwarding::RouteTableView& table);

  void OnRequest(const TransactionPointer& transaction);
  // Serves a request of a host that has read its configuration.
  void Serve(const TransactionPointer& transaction);
  // Serves the requests that were held at the start, or refuses them if the
  // host did not become ready in time.
  void ServeHeld();
  void OnReadinessCheck(const TransactionPointer& transaction);
  void OnDiscovery(const TransactionPointer& transaction);
  // Serves metrics, events, copies of topics, and tunnels.
  void OnInternalRequest(const TransactionPointer& transaction);
  void RespondError(const TransactionPointer& transaction,
                    const absl::Status& status);
  // Returns the error to send to the caller for `status`.
  absl::Status StatusForCaller(const absl::Status& status) const;

  // Returns whether configuration and registrations have been read.
  bool HasLoaded() const;
  bool IsReady() const;
  // Returns how long callers may cache the addresses in a discovery response.
  core::Duration AddressLifetime() const;
  void Tick();
  // Records the prompt parts that are refused since the last call.
  void LogRefusedParts();
  void LogPaceChanges();
  void CreateStop();
  // Refuses the requests that are held until the host is ready.
  void RefuseHeld();

  core::EventLoop* const loop_;
  ForwarderSettings settings_;
  const std::string settings_path_;
  core::EventRing events_;
  core::Metrics metrics_;
  core::RandomSource random_;
  // Sends calls to the platform and to other hosts.
  const std::shared_ptr<http::BufferMemory> buffer_memory_;
  http::Client platform_client_;
  http::OriginClient origin_client_;
  const forwarding::AdapterSet adapters_;
  platform::LoopScheduler scheduler_;
  forwarding::EndpointTable endpoints_;
  forwarding::ColdEndpoints cold_endpoints_{&endpoints_};
  forwarding::EndpointMonitor monitor_;
  forwarding::LoadTable loads_{core::FirstShortMessageNumber()};
  forwarding::EndpointPace paces_;
  forwarding::WaitQueue waiting_;
  forwarding::CrashSuspects suspects_;
  // The sets of prompt parts that were refused at the last tick.
  std::set<std::vector<uint64_t>> logged_refused_parts_;
  forwarding::CarrierDirectory carriers_;
  forwarding::PathProber path_;
  forwarding::CrashDetector crashes_;
  forwarding::ForwardContext context_;
  forwarding::OriginProber origin_prober_{loop_, &context_.origin_certainty};
  std::unique_ptr<ConfigurationController> configuration_;
  std::unique_ptr<RegistrationController> registrations_;
  std::unique_ptr<FleetController> fleet_;
  // The HTTP servers, one per listening address.
  std::unique_ptr<http::RequestServer> callers_;
  std::unique_ptr<http::RequestServer> ready_;
  std::unique_ptr<http::RequestServer> discovery_;
  std::unique_ptr<http::RequestServer> internal_;
  forwarding::TunnelServer tunnels_;
  StartupQueue startup_queue_;
  std::unique_ptr<core::Timer> startup_timer_;
  std::unique_ptr<core::Timer> ticker_;
  bool is_announced_ = false;
  std::unique_ptr<StopController> stop_;
  core::TimePoint next_settings_check_at_;
  core::TimePoint next_origin_observation_at_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_FORWARDER_DAEMON_H_
