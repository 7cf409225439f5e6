// Preloaded into the process of a host: refuses its new connections to
// endpoints, and moves its time of day, as HostFaults says.

#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

#include "Tests/Once/host_faults.h"

namespace {

using wasabi::once::HostFaults;

constexpr int64_t kNanosecondsPerMillisecond = 1'000'000;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

const HostFaults* MapFaults() {
  const char* path = std::getenv(wasabi::once::kHostFaultsVariable);
  const int descriptor =
      path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return nullptr;
  }
  void* block =
      mmap(nullptr, sizeof(HostFaults), PROT_READ, MAP_SHARED, descriptor, 0);
  close(descriptor);
  return block == MAP_FAILED ? nullptr : static_cast<HostFaults*>(block);
}

const HostFaults* Faults() {
  static const HostFaults* const kFaults = MapFaults();
  return kFaults;
}

template <typename Function>
Function Next(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" int connect(int descriptor,
                       const sockaddr* address,
                       socklen_t size) {
  static const auto kNext =
      Next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const HostFaults* faults = Faults();
  if (faults != nullptr && address->sa_family == AF_INET) {
    const auto* native = reinterpret_cast<const sockaddr_in*>(address);
    const uint32_t port = faults->refused_port.load();
    if (port != 0 && ntohs(native->sin_port) == port) {
      errno = ECONNREFUSED;
      return -1;
    }
  }
  return kNext(descriptor, address, size);
}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto kNext =
      Next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = kNext(clock, time);
  const HostFaults* faults = Faults();
  if (result == 0 && clock == CLOCK_REALTIME && faults != nullptr) {
    const int64_t nanoseconds =
        time->tv_sec * kNanosecondsPerSecond + time->tv_nsec +
        faults->clock_offset_ms.load() * kNanosecondsPerMillisecond;
    time->tv_sec = nanoseconds / kNanosecondsPerSecond;
    time->tv_nsec = nanoseconds % kNanosecondsPerSecond;
  }
  return result;
}
