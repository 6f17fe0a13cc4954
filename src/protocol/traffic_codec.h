#ifndef DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H
#define DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H

#include "coordination/traffic_sum.h"
#include "protocol/generated/news_messages.pb.h"

namespace daisywinch {

/// Fills in the traffic of a node: customers, load and costs. The caller sets
/// the other fields of the message.
void EncodeTrafficUpdate(const TrafficUpdate& traffic,
                         protocol::NodeNews& message);
TrafficUpdate DecodeTrafficUpdate(const protocol::NodeNews& message);

/// Fills in the sum of the traffic of several nodes. The caller sets the
/// identity of the relay and the age.
void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& message);
TrafficSum DecodeTrafficSum(const protocol::SumNews& message);

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H
