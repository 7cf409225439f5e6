// Starts a complete fleet of real processes on loopback addresses: the
// platform, engines, services, entry hosts and fault proxies. Integration tests
// and the scripts in Meta use it. Processes are named "platform", "proxy",
// "engine-1", "service-1", "router-1", "control-1" and so on.

#ifndef TESTS_SUPPORT_FLEET_FLEET_H_
#define TESTS_SUPPORT_FLEET_FLEET_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/socket_address.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/Fleet/daemon_settings.h"
#include "Tests/Support/Fleet/fleet_options.h"

namespace wasabi::support {

// Owns the processes of a fleet and, unless the options name one, its temporary
// work folder.
class Fleet {
 public:
  using Addresses = std::vector<core::SocketAddress>;

  // Starts all processes, applies the deployment's intent and waits until every
  // router serves requests. The error names the process that failed and, where
  // available, contains the end of its log.
  static absl::StatusOr<std::unique_ptr<Fleet>> Create(
      const FleetOptions& options);

  // Kills all processes that are still running.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Sends the signal `number` (SIGKILL, SIGSTOP, SIGCONT or SIGTERM) to the
  // process `name`. After SIGKILL or SIGTERM, Stop() does not check how the
  // process exits.
  absl::Status Signal(const std::string& name, int number);
  // Waits until the process `name` exits. Returns an error after `timeout`.
  absl::StatusOr<ProcessExit> WaitForExit(const std::string& name,
                                          core::Duration timeout);
  // Restarts a process that has exited, with its previous arguments, and does
  // not wait until it is healthy.
  absl::Status StartWithoutHealthCheck(const std::string& name);
  // Restarts a process that has exited and waits until it is healthy.
  absl::Status Restart(const std::string& name);

  // Waits until the endpoints have executed at least `count` requests since the
  // start of the fleet. Returns false after `timeout`.
  bool WaitUntilExecutions(size_t count, core::Duration timeout) const;

  // Terminates all processes with SIGTERM, the daemons first, and checks that
  // each exits with code 0. Skips processes that a test has terminated itself.
  absl::Status Stop();

  // Injects a fault into the proxied link `link`, see proxy_server.h. A link is
  // named after the process that it leads to. The links from callers and from
  // other daemons to a router are "router-1-http" and "router-1-link".
  absl::Status InjectLinkFault(const std::string& link,
                               const nlohmann::json& fault);

  // Collects the events of all daemons with wasabi_timeline in the work folder
  // and returns the path of the text file.
  std::string CollectTimeLine();

  // Keeps the work folder with the logs after destruction. It is also kept if
  // Stop() has not succeeded.
  void KeepWorkFolder() { keeps_work_folder_ = true; }

  // Returns the process id of the process `name`, or -1 if there is none.
  pid_t PidOf(const std::string& name) const;
  // Returns the HTTP address of the process `name`, which bypasses the proxies,
  // or an empty address if there is none.
  core::SocketAddress AddressOf(const std::string& name) const;
  // Returns the HTTP addresses of the processes `prefix`1, `prefix`2 and so on.
  Addresses AddressesOf(const std::string& prefix) const;
  Addresses engines() const { return AddressesOf("engine-"); }
  Addresses services() const { return AddressesOf("service-"); }
  Addresses routers() const { return AddressesOf("router-"); }
  Addresses controls() const { return AddressesOf("control-"); }
  // Returns the paths of the files in which the endpoints record executions.
  std::vector<std::string> ExecutionFiles() const;
  const std::string& work_folder() const { return options_.work_folder; }
  const FleetOptions& options() const { return options_; }

 private:
  // The command line and HTTP address of a process, and its current instance.
  struct Member {
    std::vector<std::string> arguments;
    core::SocketAddress address;
    std::unique_ptr<ChildProcess> process;
    // True if a test sent a signal that terminates the process or waited for
    // its exit.
    bool is_expected_to_end = false;
  };

  explicit Fleet(FleetOptions options);

  absl::Status MakeWorkFolder();
  absl::Status StartAll();
  absl::Status StartProxy();
  absl::Status StartPlatform();
  absl::Status StartEndpoints();
  absl::Status StartEndpoint(const std::string& name,
                             const std::string& program,
                             const std::string& pool,
                             const std::vector<std::string>& flags);
  void ReserveEntryAddresses();
  absl::Status StartEntries();
  absl::Status StartDaemon(const std::string& name,
                           const std::string& program,
                           const IniOverrides& overrides);
  absl::Status RegisterEntries();
  absl::Status ApplyDeployment();
  std::string IntentFile() const;
  absl::Status WaitUntilServing();
  bool IsServing(const core::SocketAddress& router) const;

  absl::Status StartMember(const std::string& name,
                           const std::string& program,
                           const std::vector<std::string>& flags,
                           const core::SocketAddress& address);
  absl::Status WaitUntilHealthy(const std::string& name,
                                const std::string& target);
  absl::Status StopMembers(const std::string& prefix);
  core::SocketAddress Reserve();
  core::SocketAddress PublicAddress(const std::string& name) const;
  std::string LogPath(const std::string& name) const;
  std::string LogTail(const std::string& name) const;

  FleetOptions options_;
  bool owns_work_folder_ = false;
  bool keeps_work_folder_ = false;
  // True if Stop() succeeded, so that the logs are not needed.
  bool is_stopped_cleanly_ = false;
  uint32_t next_ip_ = 0;
  core::SocketAddress proxy_control_;
  std::map<std::string, Member> members_;
  // Listening addresses of the platform and the endpoints, by process name.
  // They are the targets of the proxies.
  std::map<std::string, core::SocketAddress> listen_addresses_;
  // Addresses on which the fault proxy listens, by link name.
  std::map<std::string, core::SocketAddress> proxy_addresses_;
  std::map<std::string, DaemonAddresses> daemons_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_FLEET_H_
