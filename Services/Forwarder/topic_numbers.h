// Topic numbers that identify a topic in the reports that daemons exchange.

#ifndef SERVICES_FORWARDER_TOPIC_NUMBERS_H_
#define SERVICES_FORWARDER_TOPIC_NUMBERS_H_

#include <cstdint>

namespace wasabi::forwarder {

inline constexpr uint8_t kConfigurationTopicNumber = 1;
inline constexpr uint8_t kRegistrationTopicNumber = 2;
inline constexpr uint8_t kFleetTopicNumber = 3;

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_TOPIC_NUMBERS_H_
