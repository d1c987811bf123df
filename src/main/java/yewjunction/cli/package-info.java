/**
 * The command line: one class a command. {@link yewjunction.cli.Main} picks the command; {@code
 * data-plane} and {@code control-plane} run until a signal ends them, all others do one thing and
 * return an {@linkplain yewjunction.common.ExitCode exit code}.
 */
package yewjunction.cli;
