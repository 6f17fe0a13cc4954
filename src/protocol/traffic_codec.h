#ifndef DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H
#define DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H

#include "coordination/traffic_sum.h"
#include "protocol/generated/news_messages.pb.h"

namespace daisywinch {

void EncodeTrafficUpdate(const TrafficUpdate& traffic,
                         protocol::NodeNews& message);
TrafficUpdate DecodeTrafficUpdate(const protocol::NodeNews& message);

void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& message);
TrafficSum DecodeTrafficSum(const protocol::SumNews& message);

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_TRAFFIC_CODEC_H
