#ifndef DAISYWINCH_PROTOCOL_NEWS_CODEC_H
#define DAISYWINCH_PROTOCOL_NEWS_CODEC_H

#include "coordination/traffic_sum.h"
#include "protocol/generated/news_messages.pb.h"

namespace daisywinch {

void EncodeTrafficNews(const TrafficUpdate& traffic, protocol::NodeNews& news);
TrafficUpdate DecodeTrafficNews(const protocol::NodeNews& news);

void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& news);
TrafficSum DecodeTrafficSum(const protocol::SumNews& news);

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_NEWS_CODEC_H
