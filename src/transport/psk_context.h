#ifndef DAISYWINCH_TRANSPORT_PSK_CONTEXT_H
#define DAISYWINCH_TRANSPORT_PSK_CONTEXT_H

#include <string_view>

#include <boost/asio/ssl/context.hpp>

namespace daisywinch {

/// Makes a TLS 1.3 context in which both sides prove the fleet's secret.
///
/// There are no certificates: the pre-shared key (RFC 8446, 2.2) is derived
/// from the secret, and a peer without it cannot finish the handshake.
boost::asio::ssl::context MakePskContext(std::string_view fleet_secret);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_PSK_CONTEXT_H
