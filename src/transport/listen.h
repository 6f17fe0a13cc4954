#ifndef DAISYWINCH_TRANSPORT_LISTEN_H
#define DAISYWINCH_TRANSPORT_LISTEN_H

#include "transport/asio.h"

namespace daisywinch {

/// Opens an acceptor on an address; returns the error if that fails.
ErrorCode ListenOn(Tcp::acceptor& acceptor, const Address& address);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_LISTEN_H
