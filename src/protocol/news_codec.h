#ifndef DAISYWINCH_PROTOCOL_NEWS_CODEC_H
#define DAISYWINCH_PROTOCOL_NEWS_CODEC_H

#include <map>
#include <string>

#include "coordination/customer_ledger.h"
#include "coordination/fleet_load.h"
#include "protocol/generated/news_messages.pb.h"

namespace daisywinch {

/// What a node's entry and gate tell the other nodes.
struct TrafficNews {
  std::map<std::string, CustomerUse> customers;
  NodeLoad load;
  /// The node stops and admits no more.
  bool is_leaving = false;
};

void EncodeTrafficNews(const TrafficNews& traffic, protocol::NodeNews& news);
TrafficNews DecodeTrafficNews(const protocol::NodeNews& news);

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_NEWS_CODEC_H
