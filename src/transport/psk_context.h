#ifndef DAISYWINCH_TRANSPORT_PSK_CONTEXT_H
#define DAISYWINCH_TRANSPORT_PSK_CONTEXT_H

#include <string_view>

#include <boost/asio/ssl/context.hpp>

namespace daisywinch {

/// Makes a TLS 1.3 context in which both sides authenticate with the fleet's
/// secret.
///
/// No certificates are used: the pre-shared key (RFC 8446, 2.2) is derived from
/// the secret, and the handshake with a peer that lacks it fails.
boost::asio::ssl::context MakePskContext(std::string_view fleet_secret);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_PSK_CONTEXT_H
