#pragma once

/** \file
 * Declares the entry point of the gateway's library.
 */

/** Runs the gateway until it is stopped. SIGHUP is blocked at the call, and unblocked once its
 * handler is set. \return the exit code of the process. */
extern "C" int runGateway(int argc, char **argv);
