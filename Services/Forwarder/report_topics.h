// Numbers by which daemons name topics in reports to each other.

#ifndef SERVICES_FORWARDER_REPORT_TOPICS_H_
#define SERVICES_FORWARDER_REPORT_TOPICS_H_

#include <cstdint>

namespace wasabi::forwarder {

inline constexpr uint8_t kConfigurationReport = 1;
inline constexpr uint8_t kRegistrationReport = 2;

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_REPORT_TOPICS_H_
