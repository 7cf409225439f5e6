// Starts a whole fleet of real processes on loopback addresses: the platform,
// engines, services, entry hosts and fault proxies. Integration tests and the
// scripts in Meta use it. Processes are named "platform", "proxy", "engine-1",
// "service-1", "router-1", "control-1" and so on.

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

class Fleet {
 public:
  using Addresses = std::vector<core::SocketAddress>;

  // Starts everything, applies the deployment's intent and waits until every
  // entry host serves. The error names the process that failed, and its log.
  static absl::StatusOr<std::unique_ptr<Fleet>> Create(
      const FleetOptions& options);

  // Kills what still runs.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Sends a signal to the process `name`: SIGKILL, SIGSTOP, SIGCONT, SIGTERM.
  absl::Status Signal(const std::string& name, int number);
  // Waits until the process `name` has ended.
  absl::StatusOr<ProcessExit> WaitForExit(const std::string& name,
                                          core::Duration timeout);
  // Starts a process that has ended again, with its old arguments.
  absl::Status StartAgain(const std::string& name);
  // As StartAgain, and waits until it is healthy.
  absl::Status Restart(const std::string& name);

  // Waits until the engines have executed at least `count` requests since the
  // start of the fleet; false after `timeout`.
  bool WaitUntilExecutions(size_t count, core::Duration timeout) const;

  // Ends all processes by SIGTERM, the daemons first, and checks that each
  // exits with code 0. Processes that a test ended itself are not checked.
  absl::Status Stop();

  // Plants a fault in the proxied link `link`; see proxy_server.h. The links
  // are named as the processes that they lead to; those of callers and of other
  // daemons to a router are "router-1-http" and "router-1-link".
  absl::Status PlantLinkFault(const std::string& link,
                              const nlohmann::json& fault);

  // Collects the events of all daemons with wasabi_timeline into the work
  // folder and returns the path of the text.
  std::string CollectTimeLine();

  // Keeps the work folder after the end, for a look at the logs; without Stop
  // it is kept anyway.
  void KeepWorkFolder() { keeps_work_folder_ = true; }

  // The process id of a process; -1 where there is none of that name.
  pid_t PidOf(const std::string& name) const;
  // The HTTP address of a process, past all proxies.
  core::SocketAddress AddressOf(const std::string& name) const;
  // Those of all processes whose name begins with `prefix`, in order.
  Addresses AddressesOf(const std::string& prefix) const;
  Addresses engines() const { return AddressesOf("engine-"); }
  Addresses services() const { return AddressesOf("service-"); }
  Addresses routers() const { return AddressesOf("router-"); }
  Addresses controls() const { return AddressesOf("control-"); }
  // Files that the endpoints write their executions to.
  std::vector<std::string> ExecutionFiles() const;
  const std::string& work_folder() const { return options_.work_folder; }
  const FleetOptions& options() const { return options_; }

 private:
  // How a process is started, and the process while it runs.
  struct Member {
    std::vector<std::string> arguments;
    core::SocketAddress address;
    std::unique_ptr<ChildProcess> process;
    // A test sent it a signal that may end it.
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
  void PlanEntries();
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
  // All processes were stopped as they should, so no log is needed.
  bool has_stopped_ = false;
  uint32_t next_ip_ = 0;
  core::SocketAddress proxy_control_;
  std::map<std::string, Member> members_;
  // Addresses of what is behind a proxy, by process.
  std::map<std::string, core::SocketAddress> planned_;
  std::map<std::string, core::SocketAddress> proxied_;
  std::map<std::string, DaemonAddresses> daemons_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_FLEET_H_
