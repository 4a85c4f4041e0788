package thistlefall.cli;

import java.util.Arrays;
import java.util.stream.Collectors;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;
import thistlefall.standin.fault.InjectedFault;

/** Converts the label of an injected fault, as given to {@code --break}, to the fault. */
final class FaultConverter implements ITypeConverter<InjectedFault> {
    @Override
    public InjectedFault convert(String text) {
        return Arrays.stream(InjectedFault.values())
                .filter(f -> f.label().equals(text))
                .findFirst()
                .orElseThrow(() -> new TypeConversionException("no such fault; there are " + labels()));
    }

    /** All labels, each with the number of the rule that the fault breaks. */
    static String labels() {
        return Arrays.stream(InjectedFault.values())
                .map(f -> f.label() + " (rule " + f.rule() + ")")
                .collect(Collectors.joining(", "));
    }
}
